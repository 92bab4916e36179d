package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0 // the rule was kept
	broken = 1
	unable = 2 // the case could not run
)

// caseTime bounds a case.
const caseTime = 115 * time.Second

// env is the environment of one case: a temporary folder, the record, and the processes that were started.
type env struct {
	dir     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
	over   sync.Once
}

func newEnv(record string) *env {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	e := &env{dir: dir, record: file, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	e.log("trouble: %v", e.trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { // no process outlives the case
		select {
		case <-ended:
			e.finish(unable, "told to end")
		case <-time.After(caseTime):
			e.finish(unable, "not over in %v", caseTime)
		}
	}()
	return e
}

// log writes one line to the record.
func (e *env) log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f "+format+"\n", append([]any{time.Since(e.start).Seconds()}, args...)...)
}

// finish ends all processes and the case. The first call counts.
func (e *env) finish(status int, format string, args ...any) {
	e.over.Do(func() { e.end(status, format, args...) })
	select {} // another goroutine ends the program
}

func (e *env) end(status int, format string, args ...any) {
	e.log("RESULT %d: %s", status, fmt.Sprintf(format, args...))
	e.mu.Lock()
	procs := e.procs
	e.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	fmt.Printf("result %d: %s\n", status, fmt.Sprintf(format, args...))
	for _, p := range procs {
		if os.Getenv("KEEP") != "" {
			raw, _ := os.ReadFile(p.logPath)
			fmt.Printf("--- log of %s\n%s", p.name, raw)
		}
	}
	_ = os.RemoveAll(e.dir)
	os.Exit(status)
}

// must ends the case as one that could not run.
func (e *env) must(err error, what string) {
	if err != nil {
		e.finish(unable, "%s: %v", what, err)
	}
}

// proc is a process of the project's own program.
type proc struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
}

// serve starts `run` of the deploy file (RUN) with a configuration file of the appliance.
func (e *env) serve(name, config, state string, extra ...string) *proc {
	path := filepath.Join(e.dir, name+".toml")
	e.must(e.write(name, config), "the configuration")
	e.must(os.MkdirAll(state, 0o700), "the state folder")
	return e.run(name, append([]string{"LB_STATE=" + state, "TMPDIR=" + e.dir}, extra...), "--config "+path)
}

// write writes a process's configuration file.
func (e *env) write(name, config string) error {
	return os.WriteFile(filepath.Join(e.dir, name+".toml"), []byte(config), 0o600)
}

// run starts `run` of the deploy file with an environment and arguments.
func (e *env) run(name string, environ []string, args string) *proc {
	command := os.Getenv("RUN")
	if command == "" {
		e.finish(unable, "RUN is not set")
	}
	p := &proc{name: name, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command+" "+args)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, environ...)
	e.mu.Lock()
	p.logPath = filepath.Join(e.dir, fmt.Sprintf("%s-%d.log", name, len(e.procs)))
	e.procs = append(e.procs, p)
	e.mu.Unlock()
	out, err := os.Create(p.logPath)
	e.must(err, "the log")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	e.must(p.cmd.Start(), "the start of "+name)
	e.log("process %s started: %s %s", name, command, filepath.Base(args))
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p
}

func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its end.
func (p *proc) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitFor waits until check holds.
func waitFor(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return check()
}

// endpoint is an HTTP endpoint of a partner.
type endpoint struct {
	addr string
	e    *env

	mu   sync.Mutex
	runs map[string]int // how often each message was run
	all  int            // runs of all messages
	// answer decides on a call; nil: all are done. It returns the status and a delay before the answer.
	answer func(id string) (status int, delay time.Duration)
}

func newEndpoint(e *env) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	e.must(err, "an endpoint")
	ep := &endpoint{addr: l.Addr().String(), e: e, runs: map[string]int{}}
	go func() { _ = http.Serve(l, ep) }()
	return ep
}

func (ep *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	id := r.Header.Get("Req-Id")
	if err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, delay := http.StatusOK, time.Duration(0)
	ep.mu.Lock()
	decide := ep.answer
	ep.mu.Unlock()
	if decide != nil {
		status, delay = decide(id)
	}
	if status == http.StatusOK {
		ep.mu.Lock()
		ep.runs[id]++
		ep.all++
		ep.mu.Unlock()
	}
	ep.e.log("endpoint %s: %s arrived, status %d after %v", ep.addr, id, status, delay)
	time.Sleep(delay)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (ep *endpoint) setAnswer(answer func(string) (int, time.Duration)) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.answer = answer
}

// total returns how many runs there were.
func (ep *endpoint) total() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.all
}

func (ep *endpoint) ran(id string) int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.runs[id]
}
