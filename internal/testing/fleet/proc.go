package fleet

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Proc is a child process. All signals go to its pid, never to a process group.
type Proc struct {
	cmd   *exec.Cmd
	mu    sync.Mutex
	ended bool
	done  chan struct{} // closed when the process has ended
	err   error
}

// Start starts a process with its standard output and error written to log. env is added to the environment of this
// process. The process inherits files as its descriptors from 3 on.
func Start(program string, args, env []string, log io.Writer, files ...*os.File) (*Proc, error) {
	p := &Proc{cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.ExtraFiles = files
	// Not an *os.File, so that exec uses a pipe: output arrives even while SetDiskFull makes writes to files fail.
	pipe := struct{ io.Writer }{log}
	p.cmd.Stderr, p.cmd.Stdout = pipe, pipe
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no child outlives an interrupted test
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // Pdeathsig is sent when the starting thread ends, not the program
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			err = p.cmd.Wait()
			p.mu.Lock()
			p.ended, p.err = true, err
			p.mu.Unlock()
			close(p.done)
		}
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", program, err)
	}
	return p, nil
}

// Pid returns the process id.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal. It fails once the process has been waited for, as its pid may belong to another by then.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Done returns a channel that is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Kill kills the process and waits until it has ended.
func (p *Proc) Kill() {
	if err := p.Signal(syscall.SIGKILL); err == nil {
		<-p.done
	}
}

// Stop suspends all threads of the process until Continue.
func (p *Proc) Stop() error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes a suspended process.
func (p *Proc) Continue() error { return p.Signal(syscall.SIGCONT) }

// SetDiskFull makes each further write of the process to a file fail, as on a full disk, or succeed again. It
// changes the process's limit of the size of files (RLIMIT_FSIZE), so no other process is affected and the error
// is EFBIG, not ENOSPC.
func (p *Proc) SetDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrProcessDone
	}
	return FullDisk(p.Pid(), full)
}

// FullDisk does the same as Proc.SetDiskFull for any child process that has not been waited for.
func FullDisk(pid int, full bool) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return fmt.Errorf("fleet: full disk: %w", err)
	}
	if limit.Cur = limit.Max; full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("fleet: full disk: %w", err)
	}
	return nil
}

// ExhaustDescriptors makes each further open of a descriptor in a running process fail, or succeed again.
func ExhaustDescriptors(pid int, exhausted bool) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("fleet: descriptors: %w", err)
	}
	if limit.Cur = limit.Max; exhausted {
		limit.Cur = 1
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("fleet: descriptors: %w", err)
	}
	return nil
}

// Terminate sends SIGTERM and waits up to timeout for the end of the process. It returns the process's exit error, or
// an error if it did not end.
func (p *Proc) Terminate(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.New("fleet: the process did not end after SIGTERM")
	}
}

// Ended reports whether the process has ended, and its exit error.
func (p *Proc) Ended() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended, p.err
}
