package amqpfront

import (
	"errors"
	"strings"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
)

// The SASL mechanisms (RFC 4422). EXTERNAL is offered to clients with a verified certificate.
const (
	mechPlain    = "PLAIN"
	mechAMQPlain = "AMQPLAIN"
	mechExternal = "EXTERNAL"
)

// anonymousExternal is the response with which amqp091-go names no user.
const anonymousExternal = "\x00*\x00*"

// mechanisms lists the mechanisms for connection.start.
func (s *session) mechanisms() string {
	list := mechPlain + " " + mechAMQPlain
	if s.conn.PeerCertificate() != nil {
		list += " " + mechExternal
	}
	return list
}

// errLogin is the answer to any wrong login; it doesn't say what was wrong.
var errLogin = &amqp.Fault{Code: amqp.AccessRefused, Text: "login refused", Method: amqp.ConnStartOk}

// login checks the response to one of the mechanisms and goes on with the handshake at once or, after
// a password check, later. For PLAIN (RFC 4616) the authorization identity must be empty or the user's
// own; AMQPLAIN is a table with LOGIN and PASSWORD; for EXTERNAL the certificate names the user, and the
// response may repeat the name.
func (s *session) login(mechanism, response string) error {
	user, password, ok := credentials(mechanism, response)
	p := s.ingress.policy
	switch {
	case mechanism == mechExternal:
		u, ok := p.Holder(s.conn.PeerCertificate())
		if !ok || response != "" && response != u.Name && response != anonymousExternal {
			return errLogin
		}
		s.startTuning(u.Name)
		return nil
	case !ok:
		return errLogin
	case p.Open():
		s.startTuning(user)
		return nil
	}
	u, _ := p.User(user)
	s.stage = stageAuth
	return s.checkPassword(u, password, func(ok bool) {
		if !ok {
			s.closeWith(0, errLogin)
			return
		}
		s.startTuning(user)
	})
}

// checkPassword compares a password in another goroutine and calls done on the loop's, unless the
// connection has ended by then.
func (s *session) checkPassword(user access.User, password string, done func(bool)) error {
	err := s.ingress.checker.Check(user.Hash, password, func(ok bool) {
		s.loop.Post(func() {
			if s.stage != stageClosing && !s.conn.IsClosing() {
				done(ok)
			}
		})
	})
	if errors.Is(err, access.ErrCrowd) {
		return amqp.Errorf(amqp.ResourceError, "%v; come again in a second", err)
	}
	return err
}

// credentials reads the user and password from the response to PLAIN or AMQPLAIN.
func credentials(mechanism, response string) (user, password string, ok bool) {
	switch mechanism {
	case mechPlain:
		f := strings.Split(response, "\x00")
		if len(f) == 3 && (f[0] == "" || f[0] == f[1]) {
			return f[1], f[2], true
		}
	case mechAMQPlain:
		if t, err := amqp.ParseTable([]byte(response)); err == nil {
			u, ok1 := t["LOGIN"].(string)
			p, ok2 := t["PASSWORD"].(string)
			return u, p, ok1 && ok2
		}
	}
	return "", "", false
}

// startTuning goes on with the handshake of an authenticated user.
func (s *session) startTuning(user string) {
	s.grant = s.ingress.policy.Lobby(user)
	s.stage = stageTune
	s.writeMethod(0, amqp.ConnTune, s.ingress.options.Channels, amqp.FrameMax, int(s.ingress.options.Heartbeat.Seconds()))
}

// openHost opens a virtual host.
func (s *session) openHost(name string) error {
	g := s.ingress.policy.Enter(s.grant.User(), name)
	if g == nil {
		if _, known := s.ingress.hosts[name]; known {
			return &amqp.Fault{Code: amqp.NotAllowed, Text: "this user may not enter the virtual host", Method: amqp.ConnOpen}
		}
		return &amqp.Fault{Code: amqp.NotAllowed, Text: "no such virtual host", Method: amqp.ConnOpen}
	}
	s.grant, s.host = g, s.ingress.hosts[g.Host().Name]
	s.stage = stageReady
	s.updateClass()
	s.writeMethod(0, amqp.ConnOpenOk, "")
	if s.ingress.blockedReason != "" && s.notifiesBlocked {
		s.writeMethod(0, amqp.ConnBlocked, s.ingress.blockedReason)
	}
	return nil
}

// updateSecret handles connection.update-secret: the new secret must be that of the same user.
func (s *session) updateSecret(password string) error {
	u, ok := s.ingress.policy.User(s.grant.User())
	if s.ingress.policy.Open() {
		s.writeMethod(0, amqp.ConnSecretOk)
		return nil
	}
	if !ok {
		u = access.User{}
	}
	return s.checkPassword(u, password, func(ok bool) {
		if ok {
			s.writeMethod(0, amqp.ConnSecretOk)
			return
		}
		s.closeWith(0, &amqp.Fault{
			Code:   amqp.AccessRefused,
			Text:   "the new secret is not the user's",
			Method: amqp.ConnSecret,
		})
	})
}
