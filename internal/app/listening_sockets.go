package app

import (
	"cmp"
	"errors"
	"net"
	"path/filepath"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/hotrestart"
	"brackendale/internal/net/reactor"
	"brackendale/internal/net/sharedsocket"
)

// The networks of listening sockets, as in package net.
const (
	networkTCP  = "tcp"
	networkUnix = "unix"
)

// listeningSockets has the listening sockets of the configuration that are open before the transport starts: received
// from a predecessor or, so that the start cannot fail for want of one later, opened before the journal is requested.
type listeningSockets struct {
	tcp     map[string]*reactor.Socket // by resolved address
	console net.Listener               // nil: not open yet
}

func newListeningSockets() *listeningSockets {
	return &listeningSockets{tcp: map[string]*reactor.Socket{}}
}

// adopt takes over the sockets of a predecessor that the configuration names. They replace those that were received
// from it before.
func (s *listeningSockets) adopt(cfg config.Config, names []hotrestart.ListenerName, descriptors []int) error {
	if len(names) != len(descriptors) {
		return hotrestart.ErrMalformed
	}
	var errs []error
	for i, name := range names {
		switch {
		case name.Network == networkUnix && name.Address == consolePath(cfg):
			errs = append(errs, s.adoptConsole(descriptors[i]))
		case name.Network == networkTCP && listensAt(cfg, resolveAddr(name.Address)):
			errs = append(errs, s.adoptTCP(resolveAddr(name.Address), descriptors[i]))
		}
	}
	return errors.Join(errs...)
}

func (s *listeningSockets) adoptTCP(addr string, descriptor int) error {
	socket, err := reactor.InheritSocket(descriptor)
	if err != nil {
		return err
	}
	if previous := s.tcp[addr]; previous != nil {
		_ = previous.Close()
	}
	s.tcp[addr] = socket
	return nil
}

func (s *listeningSockets) adoptConsole(descriptor int) error {
	listener, err := sharedsocket.Listener(descriptor)
	if err != nil {
		return err
	}
	if s.console != nil {
		_ = s.console.Close()
	}
	s.console = listener
	return nil
}

// open opens the sockets of the configuration that are not open yet.
func (s *listeningSockets) open(cfg config.Config) error {
	for _, addr := range listenAddrs(cfg) {
		resolved := resolveAddr(addr)
		if s.tcp[resolved] != nil {
			continue
		}
		socket, err := reactor.Bind(networkTCP, addr)
		if err != nil {
			return err
		}
		s.tcp[resolved] = socket
	}
	if path := consolePath(cfg); path != "" && s.console == nil {
		listener, err := console.Bind(path)
		if err != nil {
			return err
		}
		s.console = listener
	}
	return nil
}

// takeTCP returns the socket for an address of the configuration; it opens the socket if it is not open yet.
func (s *listeningSockets) takeTCP(addr string) (*reactor.Socket, error) {
	resolved := resolveAddr(addr)
	if socket := s.tcp[resolved]; socket != nil {
		delete(s.tcp, resolved)
		return socket, nil
	}
	return reactor.Bind(networkTCP, addr)
}

// takeConsole returns the socket of the console; it opens the socket at path if it is not open yet.
func (s *listeningSockets) takeConsole(path string) (net.Listener, error) {
	if listener := s.console; listener != nil {
		s.console = nil
		return listener, nil
	}
	return console.Bind(path)
}

// listenAddrs returns the addresses at which the configured ingresses listen, without that of an inherited socket.
func listenAddrs(cfg config.Config) (addrs []string) {
	if addr := cmp.Or(cfg.Listen, cfg.Resp.Listen); cfg.AcceptFD == 0 {
		addrs = append(addrs, addr)
	}
	addrs = append(addrs, cfg.AMQP.Listen, cfg.AMQP.TLS.Listen)
	configured := addrs[:0]
	for _, addr := range addrs {
		if addr != "" {
			configured = append(configured, addr)
		}
	}
	return configured
}

// listensAt reports whether an ingress of the configuration listens at a resolved address.
func listensAt(cfg config.Config, resolved string) bool {
	for _, addr := range listenAddrs(cfg) {
		if resolveAddr(addr) == resolved {
			return true
		}
	}
	return false
}

// resolveAddr returns the form of an address by which two that name the same socket are equal. An address that cannot
// be resolved is returned as it is.
func resolveAddr(addr string) string {
	resolved, err := net.ResolveTCPAddr(networkTCP, addr)
	if err != nil {
		return addr
	}
	if resolved.IP == nil || resolved.IP.IsUnspecified() { // all of these listen at every address
		resolved.IP = net.IPv6unspecified
	}
	return resolved.String()
}

// consolePath returns the path of the console's socket, or "" if there is no console.
func consolePath(cfg config.Config) string {
	path := cfg.Console.Socket
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(cfg.State, path)
}
