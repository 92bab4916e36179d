package app

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/hotrestart"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// otherKey names the environment variable with the path of a built program of another version. The version tests run
// this tree's program against it; without the variable both sides are this tree's program. The path has to be absolute.
// By hand:
//
//	BRACKENDALE_OTHER=/path/to/brackendale go test ./internal/app -run TestVersions -count=1 -v
const otherKey = "BRACKENDALE_OTHER"

// buildCurrent builds this tree's program.
func buildCurrent(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "brackendale")
	build := exec.Command("go", "build", "-o", program, "./cmd/brackendale")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// order is the programs of one pass through a scenario: where it starts, and what it goes on to.
type order struct{ name, from, to string }

// TestVersions plays each scenario in both orders of this tree's program and the other one.
func TestVersions(t *testing.T) {
	current := buildCurrent(t)
	other, err := filepath.Abs(cmp.Or(os.Getenv(otherKey), current))
	if err != nil {
		t.Fatal(err)
	}
	for _, scenario := range []struct {
		name string
		play func(*testing.T, order)
	}{{"upgrade", playUpgrade}, {"kill", playKill}, {"kill during upgrade", playKillDuringUpgrade}, {"roll", playRoll}} {
		t.Run(scenario.name, func(t *testing.T) {
			for _, x := range []order{{"other to current", other, current}, {"current to other", current, other}} {
				t.Run(x.name, func(t *testing.T) {
					t.Parallel()
					scenario.play(t, x)
				})
			}
		})
	}
}

// versionOffice is an office whose processes are built programs. Its partner can be held up, and can answer single
// charges with an error, so that there are both deliveries and final notices to count.
type versionOffice struct {
	*office
	gate     sync.RWMutex    // while it is locked, the partner answers nothing
	waiting  map[string]bool // charges that are at the partner
	rejected map[string]bool // charges that the partner answers with an error
	calls    map[string]int
	ends     map[string][]string // all final notices, as the agent was told them
}

func newVersionOffice(t *testing.T) *versionOffice {
	v := &versionOffice{
		office: newOffice(t), waiting: map[string]bool{}, rejected: map[string]bool{},
		calls: map[string]int{}, ends: map[string][]string{},
	}
	v.answer = v.serveCall
	v.recordFinals()
	return v
}

// serveCall is the partner. A charge is applied once it passes the gate, if the partner does not answer an error.
func (v *versionOffice) serveCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Req-Id")
	v.mu.Lock()
	v.calls[id]++
	v.waiting[id] = true
	v.mu.Unlock()
	v.gate.RLock()
	defer v.gate.RUnlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.waiting, id)
	if v.rejected[id] {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	v.applied[id] = v.calls[id]
}

// rejectOne waits until a charge is at the partner, which is held up, and lets it be answered with an error.
func (v *versionOffice) rejectOne() error {
	for until := time.Now().Add(standin.Long); time.Now().Before(until); time.Sleep(time.Millisecond) {
		v.mu.Lock()
		for id := range v.waiting {
			v.rejected[id] = true
			v.mu.Unlock()
			return nil
		}
		v.mu.Unlock()
	}
	return errors.New("no call reaches the partner")
}

// recordFinals puts a recorder of final notices between the senders and the agent.
func (v *versionOffice) recordFinals() {
	text, err := os.ReadFile(v.site())
	if err != nil {
		v.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "discovery = \"")
	agent, _, found := strings.Cut(after, "\"")
	if !found {
		v.t.Fatalf("no registry in %s", text)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: agent})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	recorder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			body, _ := io.ReadAll(r.Body)
			v.record(body)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		proxy.ServeHTTP(w, r)
	}))
	v.t.Cleanup(recorder.CloseClientConnections)
	text = bytes.Replace(text, []byte(agent), []byte(recorder.Listener.Addr().String()), 1)
	if err := os.WriteFile(v.site(), text, 0o600); err != nil {
		v.t.Fatal(err)
	}
}

func (v *versionOffice) record(body []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var f struct{ ID, State string }
	for d := json.NewDecoder(bytes.NewReader(body)); d.Decode(&f) == nil; {
		v.ends[f.ID] = append(v.ends[f.ID], f.State)
	}
}

// startProgram begins a process of a built program beside those that run.
func (v *versionOffice) startProgram(program string) *process {
	v.t.Helper()
	control, err := fleet.FreePort()
	if err != nil {
		v.t.Fatal(err)
	}
	p := &process{
		Cmd: exec.Command(program, "serve", "--config", v.site()), control: control, said: &bytes.Buffer{},
		ended: make(chan error, 1),
	}
	p.Env = append(os.Environ(), "LB_STATE="+v.state(), "LB_ACCEPT_FD=3", "LB_CONTROL="+control)
	p.ExtraFiles = []*os.File{v.file}
	p.Stderr = p.said
	if err := p.Start(); err != nil {
		v.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	v.t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// kill ends a process as a crash does, and waits for that.
func (p *process) kill() {
	_ = p.Process.Kill()
	<-p.ended
}

// readyOrNext waits until a process is ready, and gives it. Where it ends instead, since it had handed over or had
// nothing to take over from, the platform starts a program once more.
func (v *versionOffice) readyOrNext(p *process, program string) *process {
	v.t.Helper()
	for until := time.Now().Add(standin.Long); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if status, _ := p.ask("GET", "/api/ready", ""); status == 200 {
			return p
		}
		select {
		case <-p.ended:
			next := v.startProgram(program)
			v.ready(next)
			return next
		default:
		}
	}
	v.t.Fatalf("never ready\n%s", p.said)
	return nil
}

// checkEnds waits until each charge that was taken on has its end and checks that it has just one: a delivery, or one
// kind of final notice. Where nothing was killed a charge fails only if the partner answered an error.
func (v *versionOffice) checkEnds(killed bool) {
	v.t.Helper()
	v.settled()
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, n := range v.calls {
		if n > 1 {
			v.t.Errorf("%s reached the partner %d times", id, n)
		}
	}
	for id := range v.taken {
		ends := slices.Compact(slices.Sorted(slices.Values(v.ends[id])))
		switch {
		case len(ends) > 1:
			v.t.Errorf("%s has several ends: %v", id, v.ends[id])
		case killed:
		case v.rejected[id] && !slices.Equal(ends, []string{"failed"}):
			v.t.Errorf("%s was rejected by the partner, and its end is %v", id, ends)
		case !v.rejected[id] && (v.calls[id] != 1 || len(ends) > 0):
			v.t.Errorf("%s: %d calls, and its end is %v", id, v.calls[id], ends)
		}
	}
	v.t.Logf("%d charges taken on, %d refused, %d with a final notice, %d requests met the end of a connection",
		len(v.taken), v.refused, len(v.ends), v.crossed)
}

// conversation is what an old and a new process say to each other.
type conversation struct {
	ln    *net.UnixListener
	elder string // where the old process listens
	out   sync.WaitGroup

	mu    sync.Mutex
	kinds []string // of the last connection
	last  []string // the beginnings of all messages
	bad   []string // messages that this tree would not write so
}

// tell logs what was said where a test has failed.
func (c *conversation) tell(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Failed() {
		t.Logf("said:\n%s", strings.Join(c.last, ""))
	}
}

// overhear takes the old process's place at the upgrade socket and passes all on to it. The new process replaces the
// socket once it has taken over.
func (v *versionOffice) overhear() *conversation {
	v.t.Helper()
	path := filepath.Join(v.state(), "upgrade.sock")
	c := &conversation{elder: filepath.Join(v.state(), "elder.sock")}
	if err := os.Rename(path, c.elder); err != nil {
		v.t.Fatal(err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		v.t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	c.ln = ln
	c.out.Go(c.accept)
	v.t.Cleanup(func() { _ = ln.Close() })
	return c
}

// accept passes on one connection after another: a new process whose first try was not in time asks once more.
func (c *conversation) accept() {
	for {
		heir, err := c.ln.Accept()
		if err != nil {
			return
		}
		old, err := net.Dial("unix", c.elder)
		if err != nil {
			_ = heir.Close()
			continue
		}
		c.mu.Lock()
		c.kinds = nil
		c.mu.Unlock()
		c.out.Go(func() { c.pass(heir, old) })
		c.out.Go(func() { c.pass(old, heir) })
	}
}

// pass copies messages from one side to the other until that connection ends.
func (c *conversation) pass(from, to net.Conn) {
	defer to.Close()
	in := bufio.NewReader(from)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		c.note(line)
		if _, err := to.Write(line); err != nil {
			return
		}
	}
}

// note keeps the kind of a message and checks that this tree reads it strictly and writes it again byte for byte.
func (c *conversation) note(line []byte) {
	var w hotrestart.Message
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	err := dec.Decode(&w)
	again, _ := json.Marshal(w)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds = append(c.kinds, string(w.Kind))
	c.last = append(c.last, string(line[:min(len(line), 100)]))
	if err != nil || !bytes.Equal(append(again, '\n'), line) {
		c.bad = append(c.bad, fmt.Sprintf("%v\n read %swrote %s", err, line, again))
	}
}

// check waits for the end of the conversation and checks that it was a whole hand-over.
func (c *conversation) check(t *testing.T) {
	t.Helper()
	_ = c.ln.Close()
	c.out.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	want := []string{"hello", "welcome", "prepared", "state", "taken", "yours"}
	if len(c.kinds) < len(want) || !slices.Equal(c.kinds[:len(want)], want) {
		t.Fatalf("said %v, want it to begin with %v", c.kinds, want)
	}
	if !slices.Contains(c.kinds, "report") {
		t.Errorf("calls were out, and none was reported: %v", c.kinds)
	}
	for _, b := range c.bad {
		t.Errorf("this program would not write it so: %s", b)
	}
	count := map[string]int{}
	for _, kind := range c.kinds {
		count[kind]++
	}
	t.Log(count)
}

// upgrade starts a program beside a process, hands over to it while calls are out at the partner, and gives the new
// process.
func (v *versionOffice) upgrade(p *process, to string) *process {
	v.t.Helper()
	c := v.overhear()
	v.gate.Lock()
	var next *process
	func() {
		defer v.gate.Unlock()
		if err := v.rejectOne(); err != nil {
			v.t.Fatal(err)
		}
		next = v.startProgram(to)
		v.ready(next)
	}()
	if status, _ := p.ask("GET", "/api/ready", ""); status == 200 {
		v.t.Error("both processes say that they are ready")
	}
	_ = p.Process.Signal(syscall.SIGTERM)
	defer c.tell(v.t)
	v.end(p)
	c.check(v.t)
	return next
}

// playUpgrade upgrades from one version to the other and back under load, by the upgrade socket: the hand-over
// is whole, every charge ends once, and none is applied twice.
func playUpgrade(t *testing.T, x order) {
	v := newVersionOffice(t)
	p := v.startProgram(x.from)
	v.ready(p)
	end := v.crowd(6)
	p = v.upgrade(p, x.to)
	v.upgrade(p, x.from)
	end()
	v.checkEnds(false)
}

// playKill kills a process under load and starts the other version on its state folder, several times: what was
// taken on ends once, and no charge is applied twice.
func playKill(t *testing.T, x order) {
	rng := rand.New(rand.NewSource(1))
	v := newVersionOffice(t)
	p := v.startProgram(x.from)
	v.ready(p)
	end := v.crowd(6)
	for _, program := range []string{x.to, x.from, x.to} {
		time.Sleep(time.Duration(50+rng.Intn(100)) * time.Millisecond)
		p.kill()
		p = v.startProgram(program)
		v.ready(p)
	}
	end()
	v.checkEnds(true)
}

// playKillDuringUpgrade kills either side at some moment of an upgrade between versions; the platform starts
// the next process where none is left.
func playKillDuringUpgrade(t *testing.T, x order) {
	rng := rand.New(rand.NewSource(1))
	v := newVersionOffice(t)
	p := v.startProgram(x.from)
	v.ready(p)
	end := v.crowd(4)
	for i := range 4 {
		program := []string{x.to, x.from}[i%2]
		next := v.startProgram(program)
		time.Sleep(time.Duration(rng.Intn(80)) * time.Millisecond)
		victim, left := p, next
		if rng.Intn(2) == 0 {
			victim, left = next, p
		}
		victim.kill()
		p = v.readyOrNext(left, program)
	}
	end()
	v.checkEnds(true)
}

// rolled is a group of three senders whose members change their program one by one.
type rolled struct {
	t       *testing.T
	world   *fleet.Cluster
	line    *fleet.Timeline
	program string            // a symbolic link to the program of the next start
	clients map[string]string // address for clients, by member

	mu      sync.Mutex
	applied map[string]int
	finals  map[string][]string
	taken   map[string]bool
}

var rolledNames = []string{"a", "b", "c"}

// rolledSite is a member's configuration: its name, its address for clients, the address of final notices, the
// partner's address, its address in the group, the members, and the address that a duty's acts go to.
const rolledSite = `name = %[1]q
[limits]
disk_mb = 16
[console]
socket = "b.sock"
[resp]
listen = %[2]q
finals = %[3]q
[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
[[route]]
name = "partner"
dest = 1
proto = "http"
dial = %[4]q
[group]
name = %[1]q
listen = %[5]q
lease_ms = 500
members = [%[6]s]
[[duty]]
name = "restarts"
kind = "roll"
[[duty]]
name = "acts"
kind = "call"
url = "http://%[7]s/act"
every_ms = 50
longest_ms = 200
`

func newRolled(t *testing.T, program string) *rolled {
	t.Helper()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	r := &rolled{
		t: t, line: fleet.NewTimeline(), program: filepath.Join(dir, "program"), clients: map[string]string{},
		applied: map[string]int{}, finals: map[string][]string{}, taken: map[string]bool{},
	}
	receiver, err := fleet.NewReceiver(r.line)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.Close)
	receiver.SetBehavior(5*time.Millisecond, 0, false)
	partner := httptest.NewServer(http.HandlerFunc(r.serveCall))
	finals := httptest.NewServer(http.HandlerFunc(r.serveFinals))
	t.Cleanup(func() { partner.CloseClientConnections(); finals.CloseClientConnections() })
	r.use(program)
	r.world, err = fleet.NewCluster(r.program, dir, rolledNames, nil, 1, r.line, func(m *fleet.Member) string {
		at, err := fleet.FreePort()
		if err != nil {
			t.Error(err)
		}
		r.clients[m.Name] = at
		var members []string
		for _, n := range rolledNames {
			members = append(members, fmt.Sprintf("%q", n+"="+m.Addrs[n]))
		}
		return fmt.Sprintf(rolledSite, m.Name, at, finals.Listener.Addr(), partner.Listener.Addr(), m.Listen,
			strings.Join(members, ", "), receiver.Addr())
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.world.Close)
	return r
}

// use lets members that are started from now on run a program.
func (r *rolled) use(program string) {
	r.t.Helper()
	_ = os.Remove(r.program)
	if err := os.Symlink(program, r.program); err != nil {
		r.t.Fatal(err)
	}
}

// rejected tells whether the partner answers a charge with an error: the sixth of each member.
func rejected(id string) bool { return strings.HasSuffix(id, "-5") }

// serveCall is the partner.
func (r *rolled) serveCall(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Req-Id")
	r.mu.Lock()
	r.applied[id]++
	r.mu.Unlock()
	if rejected(id) {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (r *rolled) serveFinals(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f struct{ ID, State string }
	for d := json.NewDecoder(q.Body); d.Decode(&f) == nil; {
		r.finals[f.ID] = append(r.finals[f.ID], f.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

// submit hands in one charge and tells whether it was taken on.
func submit(addr, id string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	words := []string{"SUBMIT", "0", id, "c=charge,t=x,d=15000,dest=1", "body"}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
	}
	_, _ = io.WriteString(c, text.String())
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "+OK\r\n"
}

// load hands charges to each member, each under an id of its own, until the returned function is called.
func (r *rolled) load() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for name, addr := range r.clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprint(name, "-", i)
				if submit(addr, id) {
					r.mu.Lock()
					r.taken[id] = true
					r.mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	end = sync.OnceFunc(func() { cancel(); all.Wait() })
	r.t.Cleanup(end)
	return end
}

// await waits until something holds, and fails with the members' logs if it never does.
func (r *rolled) await(what string, holds func() bool) {
	r.t.Helper()
	for until := time.Now().Add(standin.Long); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			for _, m := range r.world.Members {
				text, _ := os.ReadFile(m.LogFile)
				r.t.Logf("%s:\n%s", m.Name, text[max(0, len(text)-4000):])
			}
			r.t.Fatalf("not in time: %s", what)
		}
	}
}

// acts waits for an act of the group's duty that begins from now on.
func (r *rolled) acts() {
	r.t.Helper()
	from := r.line.Now()
	r.await("an act of the duty", func() bool {
		return slices.ContainsFunc(r.line.Events(), func(e fleet.Event) bool { return e.Kind == "act" && e.At > from })
	})
}

// serves waits until a member takes a charge on.
func (r *rolled) serves(name string) {
	r.t.Helper()
	n := 0
	r.await(name+" takes charges on", func() bool {
		n++
		return submit(r.clients[name], fmt.Sprintf("%s-start%d.", name, n))
	})
}

// roll drains a member through the group and starts it again with the present program.
func (r *rolled) roll(name string) {
	r.t.Helper()
	r.await("the group lets "+name+" go", func() bool {
		var a struct{ Error string }
		return fleet.AskSocket(r.world.Member(name).Socket(), "drain", &a) == nil && a.Error == ""
	})
	p := r.world.Proc(name)
	select {
	case <-p.Done():
	case <-time.After(standin.Long):
		r.t.Fatal(name, "does not end")
	}
	if _, err := p.Ended(); err != nil {
		r.t.Fatal(name, err)
	}
	if err := r.world.StartMembers(name); err != nil {
		r.t.Fatal(err)
	}
	r.serves(name)
	r.acts()
}

// checkEnds waits until each charge that was taken on has its end, and checks that it is the right one and the only
// one.
func (r *rolled) checkEnds() {
	r.t.Helper()
	r.await("all charges end", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for id := range r.taken {
			if delivered := r.applied[id] > 0 && !rejected(id); !delivered && len(r.finals[id]) == 0 {
				return false
			}
		}
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.applied {
		if n > 1 {
			r.t.Errorf("%s was applied %d times", id, n)
		}
	}
	for id := range r.taken {
		ends := slices.Compact(slices.Sorted(slices.Values(r.finals[id])))
		delivered := r.applied[id] == 1 && !rejected(id)
		never := slices.Contains(ends, "returned") // its client was told that it never ran
		if delivered && len(ends) > 0 || !delivered && len(ends) != 1 || r.applied[id] > 0 && never {
			r.t.Errorf("%s reached the partner %d times, and its end is %v", id, r.applied[id], r.finals[id])
		}
	}
	if len(r.taken) == 0 {
		r.t.Error("nothing was taken on")
	}
	r.t.Logf("%d charges taken on", len(r.taken))
}

// playRoll rolls a group of three senders from one version to the other, one by one and under load: the group
// lets each go, its duty goes on without overlaps after each step, and every charge ends once.
func playRoll(t *testing.T, x order) {
	r := newRolled(t, x.from)
	if err := r.world.StartMembers(); err != nil {
		t.Fatal(err)
	}
	for _, name := range rolledNames {
		r.serves(name)
	}
	r.acts()
	end := r.load()
	r.use(x.to)
	for _, name := range rolledNames {
		r.roll(name)
	}
	end()
	r.checkEnds()
	if verdict := fleet.Check(r.line.Events()); !verdict.Passed() {
		t.Errorf("%+v", verdict)
	}
}
