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

// AMQP configures the AMQP front. Without an address to listen on, with or without TLS, there is none.
type AMQP struct {
	Listen     string `toml:"listen"`
	User       string `toml:"user"`     // the single login of a small site, instead of Accounts
	Password   string `toml:"password"` // the password of User, in plain text
	Exchange   string `toml:"exchange"` // the exchange of the root virtual host
	HeartbeatS int    `toml:"heartbeat_s"`
	Channels   int    `toml:"channels"` // the maximum for one connection

	FirstTimeoutS float64 `toml:"first_s"` // timeout for the handshake; 0: none
	FrameTimeoutS float64 `toml:"frame_s"` // timeout for one frame, from its first byte to its last; 0: none
	IdleTimeoutS  float64 `toml:"idle_s"`  // maximum time without messages and final answers; 0: none

	TLS      AMQPTLS       `toml:"tls"`
	Accounts []AMQPAccount `toml:"account"`
	VHosts   []AMQPVHost   `toml:"vhost"`
}

// AMQPTLS configures the AMQP listener with TLS. Without an address there is none.
type AMQPTLS struct {
	Listen   string `toml:"listen"`
	Cert     string `toml:"cert"`
	Key      string `toml:"key"`
	ClientCA string `toml:"client_ca"` // the CA of client certificates; empty: none are requested
	Require  bool   `toml:"require"`   // refuse clients without a certificate
	Revoked  string `toml:"revoked"`   // the CA's certificate revocation list
}

// AMQPAccount is the login of one user.
type AMQPAccount struct {
	Name        string `toml:"name"`
	Password    string `toml:"password"`    // the bcrypt hash of the password
	Certificate string `toml:"certificate"` // the name in a client certificate that logs in as this user
}

// AMQPVHost is one virtual host.
type AMQPVHost struct {
	Name         string           `toml:"name"`
	Exchange     string           `toml:"exchange"`
	Destinations []int64          `toml:"destinations"` // those that can be published to; empty: all
	Permissions  []AMQPPermission `toml:"permission"`   // empty: every user may do everything
}

// AMQPPermission is what one user may do in a virtual host.
type AMQPPermission struct {
	User    string `toml:"user"`
	Publish string `toml:"publish"` // a regular expression for routing keys
	Read    string `toml:"read"`    // a regular expression for queue names
}

// RouteTLS configures how a route's target is verified, and which certificate this sender presents to it.
type RouteTLS struct {
	CA      string `toml:"ca,omitempty"`   // empty: the CAs that this machine trusts
	Name    string `toml:"name,omitempty"` // the expected name in the target's certificate; empty: the host of its address
	Cert    string `toml:"cert,omitempty"`
	Key     string `toml:"key,omitempty"`
	Revoked string `toml:"revoked,omitempty"`
}

// TLSConfigs holds the TLS configurations, with the certificates and keys read from their files.
type TLSConfigs struct {
	Server  *tls.Config            // of the AMQP listener; nil: it has no TLS
	Targets map[string]*tls.Config // of the routes with TLS, by route name
}

// RenewBefore is how long before its expiry a certificate should be renewed.
const RenewBefore = 30 * 24 * time.Hour

// ExpiringCertificates returns the certificates of this sender that should be renewed by now, and when they expire. The
// keys are "amqp" for the listener's and "route NAME" for a route's.
func (s *TLSConfigs) ExpiringCertificates(now time.Time) map[string]time.Time {
	due := map[string]time.Time{}
	add := func(name string, cfg *tls.Config) {
		if expires := certs.ExpiresAt(cfg); !expires.IsZero() && expires.Sub(now) < RenewBefore {
			due[name] = expires
		}
	}
	add("amqp", s.Server)
	for name, cfg := range s.Targets {
		add("route "+name, cfg)
	}
	return due
}

// Serves reports whether there is an AMQP front.
func (a *AMQP) Serves() bool { return a.Listen != "" || a.TLS.Listen != "" }

// setAccessPolicy builds the access policy from the file's accounts and virtual hosts. The keys amqp.user and
// amqp.password define a single user, and amqp.exchange the root virtual host.
func (c *Config) setAccessPolicy(path string) error {
	users, err := c.AMQP.users(path)
	if err != nil {
		return err
	}
	policy, err := access.New(users, c.AMQP.hosts())
	var invalid *access.Error
	if errors.As(err, &invalid) {
		section := string(invalid.List)
		if invalid.List == access.ListUsers {
			section = "account"
		}
		return keyErrorf(fmt.Sprintf("%s: amqp.%s[%d].%s", path, section, invalid.Index, invalid.Key), "%w", invalid.Err)
	}
	c.Policy = policy
	return err
}

// users returns the users of the access policy: the single login, or the accounts.
func (a *AMQP) users(path string) ([]access.User, error) {
	var users []access.User
	hasSingleLogin := a.User != "" || a.Password != ""
	if len(a.Accounts) > 0 && hasSingleLogin {
		return nil, keyErrorf(path+": amqp.user", "cannot be combined with amqp.account")
	}
	if hasSingleLogin {
		users = append(users, access.User{Name: a.User, Hash: access.Plain(a.Password)})
	}
	for i, account := range a.Accounts {
		if strings.HasPrefix(account.Password, access.Plain("")) { // the prefix is internal: a file must not use it
			return nil, keyErrorf(fmt.Sprintf("%s: amqp.account[%d].password", path, i),
				"is not a bcrypt hash: create one with brackendale passwd")
		}
		users = append(users, access.User{Name: account.Name, Hash: account.Password, Certificate: account.Certificate})
	}
	return users, nil
}

// hosts returns the virtual hosts of the access policy. The root host is added if it is configured, or if it would be
// the only one.
func (a *AMQP) hosts() []access.Host {
	var hosts []access.Host
	for _, vhost := range a.VHosts {
		host := access.Host{Name: vhost.Name, Exchange: vhost.Exchange, Destinations: vhost.Destinations}
		for _, permission := range vhost.Permissions {
			host.Permissions = append(host.Permissions, access.Permission(permission))
		}
		hosts = append(hosts, host)
	}
	if len(a.VHosts) == 0 || a.Exchange != "" {
		hosts = append(hosts, access.Host{Name: access.Root, Exchange: a.Exchange})
	}
	return hosts
}

// resolvePath resolves a file name in the configuration file at path, relative to that file's folder.
func resolvePath(path, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// loadTLS reads the key and certificate files of the listener and the routes.
func (c *Config) loadTLS(path string, routes []Route) error {
	if listener := c.AMQP.TLS; listener != (AMQPTLS{}) {
		if _, _, err := net.SplitHostPort(listener.Listen); err != nil {
			return keyErrorf(path+": amqp.tls.listen", "%q: %w", listener.Listen, err)
		}
		cfg, err := certs.ServerConfig(certs.Files{
			Cert:    resolvePath(path, listener.Cert),
			Key:     resolvePath(path, listener.Key),
			CA:      resolvePath(path, listener.ClientCA),
			Revoked: resolvePath(path, listener.Revoked),
		}, listener.Require, time.Now)
		if err != nil {
			return keyErrorf(path+": amqp.tls", "%w", err)
		}
		c.TLSConfigs.Server = cfg
	}
	c.TLSConfigs.Targets = map[string]*tls.Config{}
	for i, route := range routes {
		key := fmt.Sprintf("%s: route[%d].tls", path, i)
		target, err := amqp.ParseURL(route.Dial)
		if route.Proto != protoAMQP || err != nil || !target.TLS {
			if route.TLS != nil {
				return keyErrorf(key, "applies only to routes whose dial begins with amqps://")
			}
			continue
		}
		cfg, err := route.clientTLS(path, target.Addr)
		if err != nil {
			return keyErrorf(key, "%w", err)
		}
		c.TLSConfigs.Targets[route.Name] = cfg
	}
	return nil
}

// clientTLS returns the TLS configuration for connections of a route whose target is at addr.
func (r *Route) clientTLS(path, addr string) (*tls.Config, error) {
	var settings RouteTLS
	if r.TLS != nil {
		settings = *r.TLS
	}
	name := settings.Name
	if name == "" {
		name, _, _ = net.SplitHostPort(addr)
	}
	return certs.ClientConfig(certs.Files{
		Cert:    resolvePath(path, settings.Cert),
		Key:     resolvePath(path, settings.Key),
		CA:      resolvePath(path, settings.CA),
		Revoked: resolvePath(path, settings.Revoked),
	}, name, time.Now)
}
