package failure

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
)

// Each documented error of connect and of the related system calls has its classification for a connect.
// None of them proves anything about a request that was sent.
func TestClassify(t *testing.T) {
	for errno, want := range map[syscall.Errno]Origin{
		syscall.EMFILE: Machine, syscall.ENFILE: Machine, syscall.ENOBUFS: Machine, syscall.ENOMEM: Machine,
		syscall.EADDRNOTAVAIL: Machine,
		syscall.EADDRINUSE:    Machine, syscall.EAGAIN: Machine, syscall.EINTR: Machine, syscall.ENETDOWN: Machine,
		syscall.ENOSPC:      Machine,
		syscall.ENETUNREACH: Path, syscall.EACCES: Path, syscall.EPERM: Path,
		syscall.ECONNREFUSED: Peer, syscall.ETIMEDOUT: Peer, syscall.EHOSTUNREACH: Peer, syscall.ECONNRESET: Peer,
		syscall.EHOSTDOWN:    Peer,
		syscall.ECONNABORTED: Peer, syscall.EPIPE: Peer, syscall.EIO: Peer,
	} {
		err := fmt.Errorf("dialling: %w", errno)
		if got := Classify(Connect, err); got != (Proof{false, want}) {
			t.Errorf("connect: %v: %+v", errno, got)
		}
		if got := Classify(Write, err); got != (Proof{false, Peer}) {
			t.Errorf("write: %v: %+v", errno, got)
		}
		if got := Classify(Read, err); got != (Proof{true, Peer}) {
			t.Errorf("read: %v: %+v", errno, got)
		}
	}
	if got := Classify(Connect, errors.New("timeout without an errno")); got != (Proof{false, Peer}) {
		t.Error(got)
	}
}
