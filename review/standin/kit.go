// Command standin runs the review's cases: it plays the clients, the endpoints and the platform's agent on loopback
// addresses, starts the project's sender by the deploy file's run command, and judges what the stand-ins see.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// bench is what all cases share.
type bench struct {
	root    string // of the repository
	temp    string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// note writes a line with the time since the start to record.txt.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), b.temp, "TEMP")
	fmt.Fprintf(b.record, "%9.3f  %s\n", time.Since(b.began).Seconds(), line)
}

// unable ends the case with exit code 2.
func (b *bench) unable(format string, args ...any) {
	b.note("the case could not run: "+format, args...)
	b.finish(exitUnable)
}

// finish ends all processes that the case has started, and the case.
func (b *bench) finish(code int) {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	verdict := map[int]string{exitHeld: "held", exitBroken: "BROKEN", exitUnable: "could not run"}[code]
	b.note("verdict: %s", verdict)
	fmt.Println(verdict)
	_ = os.RemoveAll(b.temp)
	os.Exit(code)
}

// proc is one process of the sender.
type proc struct {
	name  string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	err   error
	endAt time.Time
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the deploy file's run command with an environment. extra descriptors begin at 3.
func (b *bench) start(name string, env []string, extra ...*os.File) *proc {
	return b.startWith(name, "", env, extra...)
}

// startWith does so with further arguments behind the command.
func (b *bench) startWith(name, arguments string, env []string, extra ...*os.File) *proc {
	deploy, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		b.unable("%v", err)
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		b.unable("the deploy file has no run")
	}
	p := &proc{name: name, log: filepath.Join(b.temp, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		b.unable("%v", err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", string(match[1])+arguments)
	p.cmd.Dir = b.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + b.temp}, env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.ExtraFiles = extra
	if err := p.cmd.Start(); err != nil {
		b.unable("%v", err)
	}
	_ = log.Close()
	go func() { p.err, p.endAt = p.cmd.Wait(), time.Now(); close(p.ended) }()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.note("process %s started", name)
	return p
}

func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *proc) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	if p.running() {
		p.signal(syscall.SIGKILL)
	}
	<-p.ended
}

// grep returns the lines of the process's log with a text, at most ten.
func (p *proc) grep(text string) (lines []string) {
	raw, _ := os.ReadFile(p.log)
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) && len(lines) < 10 {
			lines = append(lines, line)
		}
	}
	return lines
}

// listen opens a TCP port on the loopback address.
func (b *bench) listen() *net.TCPListener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.unable("%v", err)
	}
	return l
}

// freePort returns a loopback address that is free now.
func (b *bench) freePort() string {
	l := b.listen()
	defer l.Close()
	return l.Addr().String()
}

// host is an entry of the registry's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int64   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// final is a notice of a message's end.
type final struct {
	State   string
	AfterMs int64
	At      time.Time
}

// agent is the platform's agent: the list of endpoints, which does not change, and the notices.
type agent struct {
	bench *bench
	addr  string
	list  map[string]any

	mu     sync.Mutex
	finals map[string][]final
}

func (b *bench) newAgent(hosts []host) *agent {
	l := b.listen()
	a := &agent{
		bench: b, addr: l.Addr().String(), finals: map[string][]final{},
		list: map[string]any{"seq": 1, "whole": true, "hosts": hosts},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", a.watch)
	mux.HandleFunc("/v2/finals", a.notices)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return a
}

func (a *agent) watch(w http.ResponseWriter, r *http.Request) {
	answer := any(a.list)
	if r.URL.Query().Get("index") == "1" {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = map[string]any{"seq": 1, "whole": false, "hosts": []host{}}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (a *agent) notices(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var notice struct {
			ID      string `json:"id"`
			State   string `json:"state"`
			AfterMs int64  `json:"after_ms"`
		}
		if json.Unmarshal(lines.Bytes(), &notice) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		a.finals[notice.ID] = append(a.finals[notice.ID], final{notice.State, notice.AfterMs, time.Now()})
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// ends returns the notices of a message.
func (a *agent) ends(id string) []final {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]final(nil), a.finals[id]...)
}

// sentMessage is a message that a client has handed in.
type sentMessage struct {
	id     string
	at     time.Time
	answer string
}

// respConn is a client's connection to a sender.
type respConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialSender(addr string) (*respConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &respConn{conn, bufio.NewReader(conn)}, nil
}

// command sends one command and returns the first line of the answer. A client waits 400 ms for it.
func (c *respConn) command(args ...string) (string, error) {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(arg), arg)
	}
	_ = c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	if _, err := io.WriteString(c.conn, out.String()); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// waitReady waits until a sender answers PING.
func (b *bench) waitReady(p *proc, addr string) {
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if !p.running() {
			b.unable("%s ended before it was ready: %v: %v", p.name, p.err, p.grep("{"))
		}
		if c, err := dialSender(addr); err == nil {
			line, err := c.command("PING")
			_ = c.conn.Close()
			if err == nil && line == "+PONG" {
				b.note("process %s is ready", p.name)
				return
			}
		}
	}
	b.unable("%s is not ready after 30 s", p.name)
}

// settings returns the settings of a small deployment, those of the example on the wire page but for the number of
// senders, with changes.
func settings(change func(map[string]any)) map[string]any {
	const text = `{"az": "oulu-room1",
 "caps": {"cancel": true, "connectTimeoutUs": 1500000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 50000, "keepaliveUs": 5000000, "maxAttempts": 8, "maxRetryAfterUs": 3000000, "openCap": 175, "peers": false, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 8},
 "charges": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.014, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.09},
 "clients": {"marksRetry": false},
 "customers": [{"name": "revontuli", "quotaPerS": 1000.0, "share": 1.0}],
 "discovery": "pushed",
 "domainType": "deliver",
 "familyInfo": {"carriage": [0.0], "decay": "halves", "ownLimits": [false, false, false], "perCall": [5, 1, 1], "turnedAwayPrice": 0.03, "workers": 12},
 "lanes": [{"aimUs": 3000000, "effect": "by_key", "group": "all", "hardLimitUs": 16000000, "lateValue": 0.5, "name": "run-record", "stream": false, "windowUs": 15000000, "worth": 2.0},
  {"aimUs": 1500000, "effect": "repeatable", "group": "all", "hardLimitUs": 6000000, "lateValue": 0.0, "name": "calib-state", "stream": false, "windowUs": 5000000, "worth": 1.0},
  {"aimUs": 2000000, "effect": "once", "group": "all", "hardLimitUs": 28000000, "lateValue": 0.3, "name": "beamtime-charge", "stream": false, "windowUs": 5000000, "worth": 4.0}],
 "machineTypes": ["collab-archive", "university", "funder"],
 "overShareWorth": 0.1, "rank": 0, "replicasOfMe": 1,
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"answerSlackUs": 20000, "askWithinUs": 10000000, "coldFrom": 0.18, "fallMultiple": 2.0, "fallUs": 2000000, "stopSendingWithinUs": 2000000, "warmAfterUs": 13000000},
 "scoringMix": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3},
 "tickUs": 5000, "tier": 0, "tiers": ["partner-systems"], "weights": "silent", "worthBy": "request", "zones": ["oulu-room1"]}`
	var parsed map[string]any
	if err := json.Unmarshal([]byte(text), &parsed); err != nil {
		panic(err)
	}
	if change != nil {
		change(parsed)
	}
	return parsed
}

// platformEnv writes a sender's configuration and returns its environment.
func (b *bench) platformEnv(name, listen, state string, a *agent, set map[string]any) []string {
	config := map[string]any{
		"name": name, "listen": listen, "discovery": a.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":    a.list,
		"settings": set,
	}
	raw, err := json.Marshal(config)
	path := filepath.Join(b.temp, name+".json")
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		b.unable("%v", err)
	}
	return []string{
		"LB_NAME=" + name, "LB_LISTEN=" + listen, "LB_DISCOVERY=" + a.addr, "LB_STATE=" + state, "LB_CONFIG=" + path,
	}
}

// writeMessages writes what became of each message: when it was handed in, the answer, how often an endpoint took it,
// and the notices of its end. Of more than 1,000, those in the middle are left out.
func (b *bench) writeMessages(sent []*sentMessage, taken map[string]int, a *agent) {
	for i, msg := range sent {
		if len(sent) > 1000 && i >= 400 && i < len(sent)-600 {
			if i == 400 {
				b.note("%d messages are left out here", len(sent)-1000)
			}
			continue
		}
		ends := ""
		for _, end := range a.ends(msg.id) {
			ends += fmt.Sprintf(" %s at %.3f", end.State, end.At.Sub(b.began).Seconds())
		}
		b.note("message %s handed in at %.3f: answer %q, taken by an endpoint %d times, notices:%s", msg.id,
			msg.at.Sub(b.began).Seconds(), msg.answer, taken[msg.id], ends)
	}
}

// folder makes a folder in the case's temporary folder.
func (b *bench) folder(name string) string {
	path := filepath.Join(b.temp, name)
	if err := os.Mkdir(path, 0o700); err != nil {
		b.unable("%v", err)
	}
	return path
}

var cases = map[string]func(*bench){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, a file in the case's folder")
		os.Exit(exitUnable)
	}
	root, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[2]), "..", ".."))
	temp, tempErr := os.MkdirTemp("", "review")
	record, recordErr := os.Create(os.Args[2])
	if err := errors.Join(err, tempErr, recordErr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	b := &bench{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	time.AfterFunc(115*time.Second, func() { b.unable("it took too long") })
	b.note("case %s, trouble %v", os.Args[1], b.trouble)
	cases[os.Args[1]](b)
}
