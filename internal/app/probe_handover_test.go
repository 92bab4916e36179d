package app

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
)

// brokenPartner is an endpoint that fails each call after failTime, once it is broken. It records which member makes
// which call: the messages' ids begin with the member's name.
type brokenPartner struct {
	broken atomic.Bool
	began  chan string // the member of each call that begins

	mu       sync.Mutex
	open     map[string]int // calls in progress, by member
	callers  []string       // of all calls since mark, in their order
	overlaps []string
}

const failTime = 400 * time.Millisecond

func newBrokenPartner() *brokenPartner {
	return &brokenPartner{began: make(chan string, 1000), open: map[string]int{}}
}

func (p *brokenPartner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !p.broken.Load() {
		return
	}
	member, _, _ := strings.Cut(request.Header.Get("Req-Id"), "-")
	p.begin(member)
	defer p.end(member)
	p.began <- member
	time.Sleep(failTime)
	if conn, _, err := writer.(http.Hijacker).Hijack(); err == nil {
		conn.Close()
	}
}

func (p *brokenPartner) begin(member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, count := range p.open {
		if count > 0 && other != member {
			p.overlaps = append(p.overlaps, member+" beside "+other)
		}
	}
	p.open[member]++
	p.callers = append(p.callers, member)
}

func (p *brokenPartner) end(member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[member]--
}

// mark forgets the calls until now.
func (p *brokenPartner) mark() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers, p.overlaps = nil, nil
}

// calls returns the callers since mark, and the calls of two members at once.
func (p *brokenPartner) calls() (callers, overlaps []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.callers...), append([]string(nil), p.overlaps...)
}

// awaitCall waits until a call of a member begins.
func (p *brokenPartner) awaitCall(t *testing.T, member string) {
	t.Helper()
	for len(p.began) > 0 {
		<-p.began
	}
	for hang := time.After(30 * time.Second); ; {
		select {
		case caller := <-p.began:
			if caller == member {
				return
			}
		case <-hang:
			t.Fatalf("no call of %s", member)
		}
	}
}

// callsAgain reports whether a member calls again after a call of another one.
func callsAgain(callers []string, member string) bool {
	other := false
	for _, caller := range callers {
		if other && caller == member {
			return true
		}
		other = other || caller != member
	}
	return false
}

const probeLeaseName = "back@1"

// startProbingGroup starts three members whose common destination has broken, and returns the member that probes it.
func startProbingGroup(t *testing.T, partner *brokenPartner) (cluster *fleet.Cluster, holder string) {
	t.Helper()
	server := httptest.NewServer(partner)
	t.Cleanup(server.Close)
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	names, clients := []string{"a", "b", "c"}, map[string]string{}
	config := func(member *fleet.Member) string {
		addr, err := fleet.FreePort()
		if err != nil {
			t.Error(err)
		}
		clients[member.Name] = addr
		return probingMemberConfig(member, addr, server.Listener.Addr().String())
	}
	cluster, err = fleet.NewCluster(os.Args[0], dir, names, nil, 1, fleet.NewTimeline(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	if err := cluster.StartMembers(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, name := range names {
		rate := &atomic.Int64{}
		rate.Store(3000) // three messages a second
		go fleet.Load(ctx, clients[name], name, rate)
	}
	time.Sleep(2 * time.Second) // each sender has seen successes
	partner.broken.Store(true)
	for deadline := time.Now().Add(30 * time.Second); holder == ""; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nobody probes the destination")
		}
		holder = cluster.Holder(probeLeaseName)
	}
	time.Sleep(4 * time.Second) // the calls of before the outage have ended, and all members heed the holder
	partner.mark()
	return cluster, holder
}

func probingMemberConfig(member *fleet.Member, listen, partner string) string {
	text := fmt.Sprintf("name = %q\nupgrade = true\n[limits]\ndisk_mb = 16\n[console]\nsocket = \"b.sock\"\n"+
		"[resp]\nlisten = %q\nfinals = \"127.0.0.1:1\"\n[sender]\nslots = 16\nhold = 400\n[[class]]\nname = \"safe\"\n"+
		"effect = \"repeatable\"\naim_ms = 5000\ndeadline_ms = 20000\nworth = 1\n[[route]]\nname = \"r\"\ndest = 1\n"+
		"proto = \"http\"\ndial = %q\n[group]\nname = %q\nlisten = %q\nlease_ms = 1000\nmembers = [",
		member.Name, listen, partner, member.Name, member.Listen)
	for _, name := range []string{"a", "b", "c"} {
		text += fmt.Sprintf("%q, ", name+"="+member.Addrs[name])
	}
	return text + "]\n[[duty]]\nname = \"back\"\nkind = \"return\"\n[[duty]]\nname = \"restarts\"\nkind = \"roll\"\n"
}

// A destination that is out must not be probed by a member beside another one that has the right to, also not while a
// member ends or is upgraded: neither while a probe of the former holder is still in flight, nor by a member of which
// the group hears no more, or not yet.
func TestOneMemberProbesWhileAnotherLeaves(t *testing.T) {
	other := func(name string) string {
		if name == "a" {
			return "b"
		}
		return "a"
	}
	terminate := func(t *testing.T, cluster *fleet.Cluster, partner *brokenPartner, member string) {
		proc := cluster.Proc(member)
		if err := proc.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-proc.Done()
		if callers, _ := partner.calls(); callsAgain(callers, member) {
			t.Errorf("%s ends, and calls after another member has: %v", member, callers)
		}
	}
	upgrade := func(t *testing.T, cluster *fleet.Cluster, _ *brokenPartner, member string) {
		predecessor := cluster.Proc(member)
		if err := cluster.StartMembers(member); err != nil {
			t.Fatal(err)
		}
		<-predecessor.Done()
		time.Sleep(3 * time.Second) // the successor joins
	}
	drain := func(t *testing.T, cluster *fleet.Cluster, partner *brokenPartner, member string) {
		proc := cluster.Proc(member)
		var reply struct{ Error string }
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			if err := fleet.AskSocket(cluster.Member(member).Socket(), "drain", &reply); err == nil && reply.Error == "" {
				break
			}
		}
		<-proc.Done()
	}
	for name, leave := range map[string]func(*testing.T, *fleet.Cluster, *brokenPartner, string){
		"SIGTERM": terminate, "upgrade": upgrade, "drain": drain,
	} {
		for _, ofHolder := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, holder %v", name, ofHolder), func(t *testing.T) {
				t.Parallel()
				partner := newBrokenPartner()
				cluster, holder := startProbingGroup(t, partner)
				leaving := holder
				if !ofHolder {
					leaving = other(holder)
				}
				partner.awaitCall(t, holder)
				partner.mark()
				leave(t, cluster, partner, leaving)
				callers, overlaps := partner.calls()
				for _, overlap := range overlaps {
					t.Error("at once:", overlap)
				}
				if !ofHolder && cluster.Holder(probeLeaseName) == holder {
					for _, caller := range callers {
						if caller != holder {
							t.Errorf("%s has the right, and these call: %v", holder, callers)
							break
						}
					}
				}
				t.Logf("holder %s, leaving %s: %v", holder, leaving, callers)
			})
		}
	}
}
