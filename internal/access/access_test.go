package access

import (
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"strings"
	"testing"
)

func TestNewReportsInvalidKey(t *testing.T) {
	hash, err := Hash("s3")
	if err != nil {
		t.Fatal(err)
	}
	lab := User{Name: "lab", Hash: hash}
	hostWith := func(p Permission) []Host { return []Host{{Name: "h", Permissions: []Permission{p}}} }
	for want, c := range map[string]struct {
		users []User
		hosts []Host
	}{
		"user[0].name":                   {[]User{{Hash: hash}}, nil},
		"user[1].name":                   {[]User{lab, lab}, nil},
		"user[0].password":               {[]User{{Name: "lab"}}, nil},
		"user[1].password":               {[]User{lab, {Name: "b", Hash: "s3"}}, nil},
		"user[1].certificate":            {[]User{{Name: "a", Certificate: "c"}, {Name: "b", Certificate: "c"}}, nil},
		"vhost[0].name":                  {nil, []Host{{}}},
		"vhost[1].name":                  {nil, []Host{{Name: "h"}, {Name: "h"}}},
		"vhost[0].exchange":              {nil, []Host{{Name: "h", Exchange: strings.Repeat("x", 128)}}},
		"vhost[0].permission[0].user":    {[]User{lab}, hostWith(Permission{User: "nobody"})},
		"vhost[0].permission[0].publish": {[]User{lab}, hostWith(Permission{User: "lab", Publish: "("})},
		"vhost[0].permission[0].read":    {[]User{lab}, hostWith(Permission{User: "lab", Read: "a)|(b"})},
		"vhost[0].permission[1].user": {
			[]User{lab},
			[]Host{{Name: "h", Permissions: []Permission{{User: "lab"}, {User: "lab"}}}},
		},
		// a comparison at this cost would take hours
		"user[0].password: is no bcrypt has": {[]User{{Name: "a", Hash: strings.Replace(hash, "$10$", "$31$", 1)}}, nil},
	} {
		_, err := New(c.users, c.hosts)
		var invalid *Error
		if !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("want an error that begins with %s, got %v", want, err)
		}
	}
}

// A host without permissions allows every user everything; with permissions it allows only the users they name, and
// only what their patterns match. A policy without users allows any login.
func TestGrants(t *testing.T) {
	p, err := New([]User{{Name: "a", Hash: Plain("x"), Certificate: "robot"}, {Name: "b", Hash: Plain("y")}}, []Host{
		{Name: Root, Exchange: "m"}, {
			Name: "h", Destinations: []int64{1, 2},
			Permissions: []Permission{{User: "a", Publish: "1|2", Read: "a.*"}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if p.IsOpen() || p.HostGrant("b", "h") != nil || p.HostGrant("nobody", Root) != nil ||
		p.HostGrant("a", "nowhere") != nil {
		t.Error("a user got a grant without permission, or any login is allowed")
	}
	if g := p.HostGrant("b", ""); g == nil || g.Host().Name != Root || !g.MayPublish([]byte("9")) || !g.MayRead("q") ||
		!g.AllowsDestination(9) || g.User() != "b" {
		t.Error(g)
	}
	g := p.HostGrant("a", "h")
	for key, want := range map[string]bool{"1": true, "2": true, "12": false, "3": false, "": false} {
		if g.MayPublish([]byte(key)) != want {
			t.Error(key)
		}
	}
	if !g.MayRead("abc") || g.MayRead("ba") || g.AllowsDestination(3) || !g.AllowsDestination(2) {
		t.Error("the grant does not follow its patterns and destinations")
	}
	if g := p.GrantWithoutHost("a"); g.User() != "a" || g.MayRead("a") || g.MayPublish([]byte("1")) {
		t.Error("a user without a host is allowed something")
	}
	for _, c := range []struct {
		cert *x509.Certificate
		want string
	}{
		{nil, ""},
		{&x509.Certificate{Subject: pkix.Name{CommonName: "robot"}}, "a"},
		{&x509.Certificate{DNSNames: []string{"x", "robot"}}, "a"},
		{&x509.Certificate{Subject: pkix.Name{CommonName: "thief"}}, ""},
		{&x509.Certificate{}, ""},
	} {
		if user, ok := p.UserOfCertificate(c.cert); user.Name != c.want || ok != (c.want != "") {
			t.Error(c.cert, user.Name)
		}
	}
	open := OpenPolicy("m")
	if g := open.HostGrant("whoever", Root); !open.IsOpen() || g == nil || !g.MayPublish(nil) ||
		open.HostGrant("whoever", "h") != nil {
		t.Error("the policy without users does not allow exactly its root host")
	}
}

// Each check has the same result from the cache, too many pending checks are rejected at once, and a cached password is
// accepted even then.
func TestChecker(t *testing.T) {
	c := NewChecker()
	hash, err := Hash("s3")
	if err != nil {
		t.Fatal(err)
	}
	check := func(hash, password string) bool {
		result := make(chan bool, 1)
		if err := c.Check(hash, password, func(ok bool) { result <- ok }); err != nil {
			t.Fatal(err)
		}
		return <-result
	}
	for range 2 { // the second time from the cache
		if !check(hash, "s3") || check(hash, "s4") || check("", "s3") || check("", "") || !check(Plain("x"), "x") ||
			check(Plain("x"), "plain:x") {
			t.Fatal("a password was checked wrongly")
		}
	}
	if len(c.verified) != 1 {
		t.Error(len(c.verified), "pairs are cached, want 1")
	}
	rejected := 0
	for range 3 * maxChecks {
		if err := c.Check(hash, "wrong", func(bool) {}); err != nil {
			rejected++
		}
	}
	if rejected < maxChecks { // far more checks are requested than can finish meanwhile
		t.Error(rejected, "checks were rejected")
	}
	if !check(hash, "s3") {
		t.Error("a cached password was not accepted while too many checks were pending")
	}
}
