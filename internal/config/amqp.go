package config

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/certs"
	"brackendale/internal/net/amqp"
)

// AMQP is the AMQP front; it is off without an address to listen on, plainly or under TLS.
type AMQP struct {
	Listen     string `toml:"listen"`
	User       string `toml:"user"`     // the one login of a small site, with the password as it is
	Password   string `toml:"password"` // of that user
	Exchange   string `toml:"exchange"` // of the root virtual host
	HeartbeatS int    `toml:"heartbeat_s"`
	Channels   int    `toml:"channels"` // of one connection

	FirstS float64 `toml:"first_s"` // for the handshake; 0: any time
	FrameS float64 `toml:"frame_s"` // for one frame, from its first byte to its last; 0: any time
	IdleS  float64 `toml:"idle_s"`  // time without a message or an answer before a client is disconnected; 0: any time

	TLS   AMQPTLS     `toml:"tls"`
	Users []AMQPUser  `toml:"account"`
	Hosts []AMQPVHost `toml:"vhost"`
}

// AMQPTLS is the front under TLS; it is off without an address.
type AMQPTLS struct {
	Listen   string `toml:"listen"`
	Cert     string `toml:"cert"`
	Key      string `toml:"key"`
	ClientCA string `toml:"client_ca"` // who may sign clients' certificates; empty: none are asked for
	Require  bool   `toml:"require"`   // clients without one are refused
	Revoked  string `toml:"revoked"`   // the CA's list of certificates that were taken back
}

// AMQPUser is one login.
type AMQPUser struct {
	Name        string `toml:"name"`
	Password    string `toml:"password"` // its bcrypt hash
	Certificate string `toml:"certificate"`
}

// AMQPVHost is one virtual host.
type AMQPVHost struct {
	Name         string           `toml:"name"`
	Exchange     string           `toml:"exchange"`
	Destinations []int64          `toml:"destinations"` // empty: all
	Permissions  []AMQPPermission `toml:"permission"`   // none: every user may do everything
}

// AMQPPermission is what one user may do in a host.
type AMQPPermission struct {
	User    string `toml:"user"`
	Publish string `toml:"publish"` // a pattern for routing keys
	Read    string `toml:"read"`    // a pattern for names of queues
}

// RouteTLS says how a route's target is verified, and which certificate this sender presents.
type RouteTLS struct {
	CA      string `toml:"ca,omitempty"`   // empty: those of this machine
	Name    string `toml:"name,omitempty"` // who the target must be; empty: the host of its address
	Cert    string `toml:"cert,omitempty"`
	Key     string `toml:"key,omitempty"`
	Revoked string `toml:"revoked,omitempty"`
}

// Secure holds the TLS configurations made of the files of keys.
type Secure struct {
	Server  *tls.Config            // nil: no listener under TLS
	Targets map[string]*tls.Config // by route; for those that speak TLS
}

// RenewBefore is the time left at which a certificate should be renewed.
const RenewBefore = 30 * 24 * time.Hour

// Renew returns the own certificates that should be renewed by now and when they expire: "amqp" for the listener,
// "route NAME" for a route.
func (s *Secure) Renew(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	add := func(name string, cfg *tls.Config) {
		if expires := certs.ExpiresAt(cfg); !expires.IsZero() && expires.Sub(now) < RenewBefore {
			list[name] = expires
		}
	}
	add("amqp", s.Server)
	for name, cfg := range s.Targets {
		add("route "+name, cfg)
	}
	return list
}

// Serves tells whether there is an AMQP front.
func (a *AMQP) Serves() bool { return a.Listen != "" || a.TLS.Listen != "" }

// amqpPolicy makes the access policy of the file's users and virtual hosts. The plain keys stand for one user and the
// root host.
func (c *Config) amqpPolicy(path string) error {
	users, err := c.AMQP.users(path)
	if err != nil {
		return err
	}
	policy, err := access.New(users, c.AMQP.hosts())
	var invalid *access.Error
	if errors.As(err, &invalid) {
		list := string(invalid.List)
		if invalid.List == access.ListUsers {
			list = "account"
		}
		return fault(fmt.Sprintf("%s: amqp.%s[%d].%s", path, list, invalid.Index, invalid.Key), "%w", invalid.Err)
	}
	c.Policy = policy
	return err
}

func (a *AMQP) users(path string) ([]access.User, error) {
	var users []access.User
	hasPlain := a.User != "" || a.Password != ""
	if len(a.Users) > 0 && hasPlain {
		return nil, fault(path+": amqp.user", "stands beside amqp.account: one of them must go")
	}
	if hasPlain {
		users = append(users, access.User{Name: a.User, Hash: access.Plain(a.Password)})
	}
	for i, user := range a.Users {
		if strings.HasPrefix(user.Password, access.Plain("")) { // the prefix is internal: files must not use it
			return nil, fault(fmt.Sprintf("%s: amqp.account[%d].password", path, i),
				"is no bcrypt hash: brackendale passwd makes one")
		}
		users = append(users, access.User{Name: user.Name, Hash: user.Password, Certificate: user.Certificate})
	}
	return users, nil
}

func (a *AMQP) hosts() []access.Host {
	var hosts []access.Host
	for _, vhost := range a.Hosts {
		host := access.Host{Name: vhost.Name, Exchange: vhost.Exchange, Destinations: vhost.Destinations}
		for _, permission := range vhost.Permissions {
			host.Permissions = append(host.Permissions, access.Permission(permission))
		}
		hosts = append(hosts, host)
	}
	if len(a.Hosts) == 0 || a.Exchange != "" {
		hosts = append(hosts, access.Host{Name: access.Root, Exchange: a.Exchange})
	}
	return hosts
}

// besideFile resolves a name that the file at path gives, relative to that file's folder.
func besideFile(path, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// amqpKeys reads the files of keys and certificates of the listener and the routes.
func (c *Config) amqpKeys(path string, routes []Route) error {
	if listener := c.AMQP.TLS; listener != (AMQPTLS{}) {
		if _, _, err := net.SplitHostPort(listener.Listen); err != nil {
			return fault(path+": amqp.tls.listen", "%q: %w", listener.Listen, err)
		}
		cfg, err := certs.ServerConfig(certs.Files{
			Cert:    besideFile(path, listener.Cert),
			Key:     besideFile(path, listener.Key),
			CA:      besideFile(path, listener.ClientCA),
			Revoked: besideFile(path, listener.Revoked),
		}, listener.Require, time.Now)
		if err != nil {
			return fault(path+": amqp.tls", "%w", err)
		}
		c.Secure.Server = cfg
	}
	c.Secure.Targets = map[string]*tls.Config{}
	for i, route := range routes {
		key := fmt.Sprintf("%s: route[%d].tls", path, i)
		target, err := amqp.ParseURL(route.Dial)
		if route.Proto != protoAMQP || err != nil || !target.TLS {
			if route.TLS != nil {
				return fault(key, "is for routes whose dial begins with amqps://")
			}
			continue
		}
		cfg, err := route.clientTLS(path, target.Addr)
		if err != nil {
			return fault(key, "%w", err)
		}
		c.Secure.Targets[route.Name] = cfg
	}
	return nil
}

// clientTLS is the TLS configuration of a route whose target is at addr.
func (r *Route) clientTLS(path, addr string) (*tls.Config, error) {
	var keys RouteTLS
	if r.TLS != nil {
		keys = *r.TLS
	}
	name := keys.Name
	if name == "" {
		name, _, _ = net.SplitHostPort(addr)
	}
	return certs.ClientConfig(certs.Files{
		Cert:    besideFile(path, keys.Cert),
		Key:     besideFile(path, keys.Key),
		CA:      besideFile(path, keys.CA),
		Revoked: besideFile(path, keys.Revoked),
	}, name, time.Now)
}
