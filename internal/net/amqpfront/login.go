package amqpfront

import (
	"errors"
	"strings"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
)

// The SASL mechanisms (RFC 4422). EXTERNAL is offered only to clients with a verified certificate.
const (
	mechPlain    = "PLAIN"
	mechAMQPlain = "AMQPLAIN"
	mechExternal = "EXTERNAL"
)

// anonymousExternal is the response of amqp091-go to EXTERNAL, which names no user.
const anonymousExternal = "\x00*\x00*"

// mechanisms returns the mechanisms for connection.start, separated by spaces.
func (s *session) mechanisms() string {
	list := mechPlain + " " + mechAMQPlain
	if s.conn.PeerCertificate() != nil {
		list += " " + mechExternal
	}
	return list
}

// errLoginRefused is the reply to any failed login. It doesn't tell the client what was wrong.
var errLoginRefused = &amqp.Fault{Code: amqp.AccessRefused, Text: "login refused", Method: amqp.ConnStartOk}

// login checks the response to one of the mechanisms and continues the handshake, at once or when a password check is
// complete. For PLAIN (RFC 4616) the authorization identity must be empty or the user's own. AMQPLAIN is a table with
// LOGIN and PASSWORD. For EXTERNAL the certificate identifies the user, and the response may repeat the name.
func (s *session) login(mechanism, response string) error {
	user, password, ok := credentials(mechanism, response)
	accessPolicy := s.ingress.policy
	switch {
	case mechanism == mechExternal:
		account, ok := accessPolicy.UserOfCertificate(s.conn.PeerCertificate())
		if !ok || response != "" && response != account.Name && response != anonymousExternal {
			return errLoginRefused
		}
		s.startTuning(account.Name)
		return nil
	case !ok:
		return errLoginRefused
	case accessPolicy.IsOpen():
		s.startTuning(user)
		return nil
	}
	account, _ := accessPolicy.User(user)
	s.stage = stageAuth
	return s.checkPassword(account, password, func(ok bool) {
		if !ok {
			s.closeWith(0, errLoginRefused)
			return
		}
		s.startTuning(user)
	})
}

// checkPassword verifies a password on another goroutine and calls done on the loop's, unless the connection is closed
// by then.
func (s *session) checkPassword(user access.User, password string, done func(bool)) error {
	err := s.ingress.checker.Check(user.Hash, password, func(ok bool) {
		s.loop.Post(func() {
			if s.stage != stageClosing && !s.conn.IsClosing() {
				done(ok)
			}
		})
	})
	if errors.Is(err, access.ErrTooManyChecks) {
		return amqp.Errorf(amqp.ResourceError, "%v; come again in a second", err)
	}
	return err
}

// credentials decodes the user and password from the response to PLAIN or AMQPLAIN.
func credentials(mechanism, response string) (user, password string, ok bool) {
	switch mechanism {
	case mechPlain:
		fields := strings.Split(response, "\x00")
		if len(fields) == 3 && (fields[0] == "" || fields[0] == fields[1]) {
			return fields[1], fields[2], true
		}
	case mechAMQPlain:
		if table, err := amqp.ParseTable([]byte(response)); err == nil {
			login, hasLogin := table["LOGIN"].(string)
			secret, hasSecret := table["PASSWORD"].(string)
			return login, secret, hasLogin && hasSecret
		}
	}
	return "", "", false
}

// startTuning continues the handshake of an authenticated user with connection.tune.
func (s *session) startTuning(user string) {
	s.grant = s.ingress.policy.GrantWithoutHost(user)
	s.stage = stageTune
	s.writeMethod(0, amqp.ConnTune, s.ingress.options.Channels, amqp.FrameMax, int(s.ingress.options.Heartbeat.Seconds()))
}

// openHost handles connection.open, which names the virtual host.
func (s *session) openHost(name string) error {
	newGrant := s.ingress.policy.HostGrant(s.grant.User(), name)
	if newGrant == nil {
		if _, known := s.ingress.hosts[name]; known {
			return &amqp.Fault{Code: amqp.NotAllowed, Text: "this user may not enter the virtual host", Method: amqp.ConnOpen}
		}
		return &amqp.Fault{Code: amqp.NotAllowed, Text: "no such virtual host", Method: amqp.ConnOpen}
	}
	s.grant, s.host = newGrant, s.ingress.hosts[newGrant.Host().Name]
	s.stage = stageReady
	s.updateClass()
	s.writeMethod(0, amqp.ConnOpenOk, "")
	if s.ingress.blockedReason != "" && s.supportsBlocked {
		s.writeMethod(0, amqp.ConnBlocked, s.ingress.blockedReason)
	}
	return nil
}

// updateSecret handles connection.update-secret. The new secret must be the current password of the same user.
func (s *session) updateSecret(password string) error {
	account, ok := s.ingress.policy.User(s.grant.User())
	if s.ingress.policy.IsOpen() {
		s.writeMethod(0, amqp.ConnUpdateSecretOk)
		return nil
	}
	if !ok {
		account = access.User{}
	}
	return s.checkPassword(account, password, func(ok bool) {
		if ok {
			s.writeMethod(0, amqp.ConnUpdateSecretOk)
			return
		}
		s.closeWith(0, &amqp.Fault{
			Code:   amqp.AccessRefused,
			Text:   "the new secret is not the user's",
			Method: amqp.ConnUpdateSecret,
		})
	})
}
