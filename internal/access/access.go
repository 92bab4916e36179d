// Package access decides who may log in, which virtual hosts a user may open, and what is allowed there. A policy is
// immutable: a reload of the settings makes a new one. Only Checker starts goroutines, because comparing a password
// with its hash is slow.
package access

import (
	"crypto/x509"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"golang.org/x/crypto/bcrypt"
)

// Root is the virtual host that a client opens if it names none.
const Root = "/"

// User is an account that clients log in with.
type User struct {
	Name string
	Hash string // a bcrypt hash, or a plain-text password wrapped by Plain; empty: no password matches
	// Certificate is the common name, DNS name, e-mail address or URI of the certificate that authenticates the user;
	// empty: no certificate does.
	Certificate string
}

// Permission is what one user may do in one host. Patterns are regular expressions (RE2) that must match the whole
// name.
type Permission struct {
	User    string
	Publish string // routing keys, which are the numbers of destinations
	Read    string // queues, also those named by reply-to; a matching queue may be declared, read, purged and deleted
}

// Host is one virtual host.
type Host struct {
	Name         string
	Exchange     string
	Destinations []int64      // empty: all
	Permissions  []Permission // empty: every user may do everything in this host
}

// Policy holds all users, hosts and permissions. It is immutable and therefore safe for concurrent use.
type Policy struct {
	users  map[string]User
	hosts  map[string]Host
	grants map[grantKey]*Grant
}

// grantKey identifies a grant. The user is empty in a policy without users; the host is empty for the grant of a user
// who has logged in but has not opened a host yet.
type grantKey struct {
	user, host string
}

// List names one of the two lists that a policy is made from.
type List string

// The lists of a policy.
const (
	ListUsers List = "user"
	ListHosts List = "vhost"
)

// The limits of names, in bytes, and the highest bcrypt cost that is accepted.
const (
	maxUserName   = 128
	maxHostName   = 127
	maxExchange   = 127
	maxBcryptCost = 14
)

// Error is an invalid entry of a list: the list, the entry's index in it, and the invalid key of the entry.
type Error struct {
	List  List
	Index int
	Key   string
	Err   error
}

// Error names the key and the reason why it is invalid.
func (e *Error) Error() string { return fmt.Sprintf("%s[%d].%s: %v", e.List, e.Index, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New validates users and hosts and makes a policy from them. Without users any client may log in and do everything.
func New(users []User, hosts []Host) (*Policy, error) {
	p := &Policy{users: map[string]User{}, hosts: map[string]Host{}, grants: map[grantKey]*Grant{}}
	certificates := map[string]bool{} // names that authenticate an earlier user
	for i, user := range users {
		if err := p.checkUser(i, user, certificates); err != nil {
			return nil, err
		}
		certificates[user.Certificate] = true
		p.grants[grantKey{user.Name, ""}] = &Grant{user: user.Name}
		p.users[user.Name] = user
	}
	for i, host := range hosts {
		if err := p.addHost(i, host); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// checkUser validates a user. certificates holds the names of certificates of the users before it.
func (p *Policy) checkUser(index int, user User, certificates map[string]bool) error {
	invalid := func(key, format string, args ...any) error {
		return &Error{ListUsers, index, key, fmt.Errorf(format, args...)}
	}
	if _, duplicate := p.users[user.Name]; user.Name == "" || len(user.Name) > maxUserName || duplicate {
		return invalid("name", "%q is missing, too long or there twice", user.Name)
	}
	if user.Hash == "" && user.Certificate == "" {
		return invalid("password", "is missing, and there is no certificate either")
	}
	if user.Hash != "" && !isPlain(user.Hash) {
		cost, err := bcrypt.Cost([]byte(user.Hash))
		if err != nil || cost > maxBcryptCost {
			return invalid("password", "is no bcrypt hash of a cost up to %d: brackendale passwd makes one", maxBcryptCost)
		}
	}
	if user.Certificate != "" && certificates[user.Certificate] {
		return invalid("certificate", "%q stands for another user", user.Certificate)
	}
	return nil
}

// addHost validates and adds a host and its grants. All users must have been added before.
func (p *Policy) addHost(index int, host Host) error {
	invalid := func(key, format string, args ...any) error {
		return &Error{ListHosts, index, key, fmt.Errorf(format, args...)}
	}
	if _, duplicate := p.hosts[host.Name]; host.Name == "" || len(host.Name) > maxHostName || duplicate {
		return invalid("name", "%q is missing, too long or there twice", host.Name)
	}
	if len(host.Exchange) > maxExchange {
		return invalid("exchange", "the name is too long")
	}
	p.hosts[host.Name] = host
	for i, permission := range host.Permissions {
		if key, err := p.addPermission(host, permission); err != nil {
			return &Error{ListHosts, index, fmt.Sprintf("permission[%d].%s", i, key), err}
		}
	}
	if p.IsOpen() {
		p.grants[grantKey{"", host.Name}] = &Grant{host: host, all: true}
	}
	if len(host.Permissions) == 0 {
		for name := range p.users {
			p.grants[grantKey{name, host.Name}] = &Grant{user: name, host: host, all: true}
		}
	}
	return nil
}

// addPermission adds the grant of one permission, or returns the invalid key and the reason.
func (p *Policy) addPermission(host Host, permission Permission) (key string, err error) {
	publish, err := compileWhole(permission.Publish)
	if err != nil {
		return "publish", err
	}
	read, err := compileWhole(permission.Read)
	if err != nil {
		return "read", err
	}
	id := grantKey{permission.User, host.Name}
	if _, known := p.users[permission.User]; !known {
		return "user", fmt.Errorf("%q is not a user", permission.User)
	}
	if p.grants[id] != nil {
		return "user", fmt.Errorf("%q is listed twice", permission.User)
	}
	p.grants[id] = &Grant{user: permission.User, host: host, publish: publish, read: read}
	return "", nil
}

// compileWhole compiles a pattern so that it matches only a whole text. An empty pattern gives nil, which matches
// nothing. The pattern is also compiled by itself, so that an unbalanced one cannot escape the group around it.
func compileWhole(pattern string) (*regexp.Regexp, error) {
	if pattern == "" {
		return nil, nil
	}
	if _, err := regexp.Compile(pattern); err != nil {
		return nil, fmt.Errorf("%q: %w", pattern, err)
	}
	return regexp.Compile(`\A(?:` + pattern + `)\z`)
}

// IsOpen reports whether any client may log in, under any name.
func (p *Policy) IsOpen() bool { return len(p.users) == 0 }

// User returns the user of that name.
func (p *Policy) User(name string) (User, bool) { user, ok := p.users[name]; return user, ok }

// UserOfCertificate returns the user whom a verified certificate authenticates. The certificate may be nil.
func (p *Policy) UserOfCertificate(cert *x509.Certificate) (User, bool) {
	if cert == nil {
		return User{}, false
	}
	for _, name := range CertificateNames(cert) {
		for _, user := range p.users {
			if user.Certificate != "" && user.Certificate == name {
				return user, true
			}
		}
	}
	return User{}, false
}

// CertificateNames returns the names in a certificate: the common name, then the DNS names, e-mail addresses and URIs.
func CertificateNames(cert *x509.Certificate) []string {
	names := []string{cert.Subject.CommonName}
	names = append(names, cert.DNSNames...)
	names = append(names, cert.EmailAddresses...)
	for _, uri := range cert.URIs {
		names = append(names, uri.String())
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}

// Hosts returns the virtual hosts, sorted by name.
func (p *Policy) Hosts() []Host {
	var list []Host
	for _, host := range p.hosts {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// HostGrant returns what a user may do in a host, or nil if the user may not open it. An empty host means Root.
func (p *Policy) HostGrant(user, host string) *Grant {
	if host == "" {
		host = Root
	}
	if _, ok := p.hosts[host]; !ok {
		return nil
	}
	if p.IsOpen() {
		user = ""
	}
	return p.grants[grantKey{user, host}]
}

// Grant is what a user may do in a host.
type Grant struct {
	user          string
	host          Host
	all           bool
	publish, read *regexp.Regexp // nil: nothing is allowed
}

// GrantWithoutHost returns the grant of a user who has logged in but has not opened a host yet. It allows nothing.
func (p *Policy) GrantWithoutHost(user string) *Grant {
	if g := p.grants[grantKey{user, ""}]; g != nil {
		return g
	}
	return noPermissions
}

// noPermissions is the grant of logins under names that are not in the policy.
var noPermissions = &Grant{}

// User returns the name of the user, or "" if the policy does not have the user.
func (g *Grant) User() string { return g.user }

// Host returns the virtual host.
func (g *Grant) Host() Host { return g.host }

// Exchange returns the exchange of the host.
func (g *Grant) Exchange() string { return g.host.Exchange }

// AllowsDestination reports whether messages in the host may go to a destination.
func (g *Grant) AllowsDestination(dest int64) bool {
	return len(g.host.Destinations) == 0 || slices.Contains(g.host.Destinations, dest)
}

// MayPublish reports whether messages with a routing key may be published.
func (g *Grant) MayPublish(key []byte) bool {
	return g.all || g.publish != nil && g.publish.Match(key)
}

// MayRead reports whether a queue may be used.
func (g *Grant) MayRead(queue string) bool {
	return g.all || g.read != nil && g.read.MatchString(queue)
}

// OpenPolicy returns a policy without users, which lets any client do everything in one virtual host, Root, with the
// given exchange.
func OpenPolicy(exchange string) *Policy {
	p, err := New(nil, []Host{{Name: Root, Exchange: exchange}})
	if err != nil {
		panic(err) // only if the name of the exchange is too long
	}
	return p
}
