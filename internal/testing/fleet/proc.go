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

// Proc is one process of the program. It is ended and stopped by its own pid alone.
type Proc struct {
	cmd   *exec.Cmd
	mu    sync.Mutex
	ended bool
	done  chan struct{} // closed once it has ended
	err   error
}

// Start starts a process; what it writes to standard error goes to log. env is added to the world's environment. The
// process has the files as its descriptors from 3 on.
func Start(program string, args, env []string, log io.Writer, files ...*os.File) (*Proc, error) {
	p := &Proc{cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.ExtraFiles = files
	through := struct{ io.Writer }{log} // by a pipe: what a process says is heard while its disk is full
	p.cmd.Stderr, p.cmd.Stdout = through, through
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives a test that is cut short
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // the kernel ends the process with the thread that started it, not with this program
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

// Pid is its process id.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal reaches the process while it has not been waited for, so that its pid is its own.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Done is closed once the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Kill ends it as a crash would, and waits for that.
func (p *Proc) Kill() {
	if err := p.Signal(syscall.SIGKILL); err == nil {
		<-p.done
	}
}

// Stop makes it stand still, all threads of it, until Continue.
func (p *Proc) Stop() error { return p.Signal(syscall.SIGSTOP) }

// Continue lets it go on.
func (p *Proc) Continue() error { return p.Signal(syscall.SIGCONT) }

// Full lets each further write of the process to a file fail as on a disk without room, or succeed
// again. Nothing but this process notices: it is its own bound on the size of files that is
// lowered, and the error is that of a file too large.
func (p *Proc) Full(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrProcessDone
	}
	return FullDisk(p.Pid(), full)
}

// FullDisk does so for a process of the caller's that has not been waited for.
func FullDisk(pid int, full bool) error {
	var was unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &was); err != nil {
		return fmt.Errorf("fleet: full disk: %w", err)
	}
	if was.Cur = was.Max; full {
		was.Cur = 0
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &was, nil); err != nil {
		return fmt.Errorf("fleet: full disk: %w", err)
	}
	return nil
}

// NoDescriptors takes all further descriptors from a running process, or gives them back.
func NoDescriptors(pid int, none bool) error {
	var was unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &was); err != nil {
		return fmt.Errorf("fleet: descriptors: %w", err)
	}
	if was.Cur = was.Max; none {
		was.Cur = 1
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &was, nil); err != nil {
		return fmt.Errorf("fleet: descriptors: %w", err)
	}
	return nil
}

// Term asks it to end in order and waits so long for that; an error tells that it did not end, or how.
func (p *Proc) Term(wait time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(wait):
		return errors.New("fleet: it does not end")
	}
}

// Ended tells whether it has ended, and how.
func (p *Proc) Ended() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended, p.err
}
