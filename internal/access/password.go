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

// plainMark begins what Plain makes. No bcrypt hash has it.
const plainMark = "plain:"

// Plain wraps a password that stands in the file as it is.
func Plain(password string) string { return plainMark + password }

func isPlain(hash string) bool { return strings.HasPrefix(hash, plainMark) }

// Cost is that of the hashes that Hash makes: about 60 ms of one core for each guess, and 4 KiB of memory (argon2id
// would want megabytes for each, of the 32 that a sender may have).
const Cost = 10

// Hash makes the hash of a password of 1 to 72 bytes, bcrypt's own bound.
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

// nobody is compared with where there is no such user, so that the time that an answer takes does not tell.
const nobody = "$2a$10$N9qo8uLOickgx2ZMRZoMyeIjZAgcfl7p92ldGxad68LJZdL17lhWy"

// The bounds of a Checker.
const (
	maxChecks   = 64  // that wait or run
	maxVerified = 512 // pairs that were found right
)

// ErrCrowd tells that too many passwords are being checked.
var ErrCrowd = errors.New("too many logins at once")

// Checker compares passwords with hashes, one at a time and beside its caller. A pair that was right is remembered
// under a key of this process, so that a crowd that comes back after a restart of the network is let in at once.
type Checker struct {
	mu       sync.Mutex
	secret   [32]byte
	verified map[[32]byte]struct{}
	waiting  int
	turn     sync.Mutex
}

// NewChecker makes one.
func NewChecker() *Checker {
	c := &Checker{verified: map[[32]byte]struct{}{}}
	_, _ = rand.Read(c.secret[:]) // never fails, by its own contract
	return c
}

// Check tells done, on some goroutine or at once, whether the password is that of the hash; an empty hash is nobody's.
func (c *Checker) Check(hash, password string, done func(bool)) error {
	if isPlain(hash) {
		done(subtle.ConstantTimeCompare([]byte(hash), []byte(Plain(password))) == 1)
		return nil
	}
	real := hash != ""
	if !real {
		hash = nobody
	}
	mac := hmac.New(sha256.New, c.secret[:])
	_, _ = fmt.Fprintf(mac, "%d:%s%s", len(hash), hash, password)
	id := [32]byte(mac.Sum(nil))
	c.mu.Lock()
	_, known := c.verified[id]
	crowd := !known && c.waiting >= maxChecks
	if !known && !crowd {
		c.waiting++
	}
	c.mu.Unlock()
	switch {
	case known:
		done(real)
		return nil
	case crowd:
		return ErrCrowd
	}
	go func() {
		c.turn.Lock()
		ok := bcrypt.CompareHashAndPassword([]byte(hash), []byte(password)) == nil && real
		c.turn.Unlock()
		c.mu.Lock()
		c.waiting--
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
