package access

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strings"
	"sync"

	"golang.org/x/crypto/bcrypt"
)

// plainPrefix marks a plain-text password in User.Hash. No bcrypt hash begins with it.
const plainPrefix = "plain:"

// Plain wraps a password that the settings hold in plain text, for User.Hash.
func Plain(password string) string { return plainPrefix + password }

func isPlain(hash string) bool { return strings.HasPrefix(hash, plainPrefix) }

// Cost is the bcrypt cost of the hashes that Hash returns.
const Cost = 10

// Hash returns the bcrypt hash of a password of 1 to 72 bytes; 72 is bcrypt's own limit.
func Hash(password string) (string, error) {
	if password == "" {
		return "", errors.New("a password must not be empty")
	}
	h, err := bcrypt.GenerateFromPassword([]byte(password), Cost)
	if err != nil {
		return "", fmt.Errorf("hashing the password: %w", err)
	}
	return string(h), nil
}

// unknownUserHash is compared with the passwords of unknown users, so that the response time does not reveal whether a
// user exists.
const unknownUserHash = "$2a$10$N9qo8uLOickgx2ZMRZoMyeIjZAgcfl7p92ldGxad68LJZdL17lhWy"

// The limits of a Checker.
const (
	maxChecks   = 64  // waiting or running
	maxVerified = 512 // cached pairs
)

// ErrTooManyChecks reports that maxChecks passwords are being checked already.
var ErrTooManyChecks = errors.New("too many logins at once")

// Checker compares passwords with bcrypt hashes, one at a time, on goroutines of its own. It caches the pairs that
// match, so that clients that reconnect need no second comparison. The cache holds only keyed digests (HMAC-SHA-256)
// of the pairs, with a secret of this process as their key. A Checker is safe for concurrent use.
type Checker struct {
	secret    [32]byte   // the key of the digests in verified
	compareMu sync.Mutex // held while a password is compared

	mu       sync.Mutex
	verified map[[32]byte]struct{}
	pending  int // checks that wait or run
}

// NewChecker returns a Checker with an empty cache and a new secret.
func NewChecker() *Checker {
	c := &Checker{verified: map[[32]byte]struct{}{}}
	_, _ = rand.Read(c.secret[:]) // never fails, as crypto/rand documents
	return c
}

// Check calls done with whether the password matches the hash, either before it returns or later on another
// goroutine. An empty hash, of an unknown user or of one without a password, matches nothing. The only error is
// ErrTooManyChecks; done is not called then.
func (c *Checker) Check(hash, password string, done func(bool)) error {
	if isPlain(hash) {
		done(subtle.ConstantTimeCompare([]byte(hash), []byte(Plain(password))) == 1)
		return nil
	}
	hasHash := hash != ""
	if !hasHash {
		hash = unknownUserHash
	}
	mac := hmac.New(sha256.New, c.secret[:])
	_, _ = fmt.Fprintf(mac, "%d:%s%s", len(hash), hash, password)
	id := [32]byte(mac.Sum(nil))
	c.mu.Lock()
	_, cached := c.verified[id]
	tooMany := !cached && c.pending >= maxChecks
	if !cached && !tooMany {
		c.pending++
	}
	c.mu.Unlock()
	switch {
	case cached:
		done(hasHash)
		return nil
	case tooMany:
		return ErrTooManyChecks
	}
	go func() {
		c.compareMu.Lock()
		ok := bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) == nil && hasHash
		c.compareMu.Unlock()
		c.mu.Lock()
		c.pending--
		if ok {
			if len(c.verified) >= maxVerified {
				clear(c.verified)
			}
			c.verified[id] = struct{}{}
		}
		c.mu.Unlock()
		done(ok)
	}()
	return nil
}
