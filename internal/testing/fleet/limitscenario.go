package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// LimitScenario is a scenario in which several senders share the limit of one endpoint and the first of them
// receives half of the traffic.
type LimitScenario struct {
	Program    string
	Dir        string
	Senders    int     // the first three vote
	LimitPerS  float64 // the limit
	Demand     float64 // of all clients, as a multiple of the limit
	Group      bool    // the senders form a group with a duty of the kind "limit"
	KnownCount bool    // each configuration file states the number of senders
	// MaxRetryAfter is the maximum wait that a sender may request from a client; 0: three seconds.
	MaxRetryAfter time.Duration
	WarmUp        time.Duration
	PhaseLength   time.Duration // measured time of each phase
	ColdReturn    bool          // the endpoint recovers at a fraction of its rate, see Endpoint.SetColdReturn
	// a fault (of FaultTargets, with one target) of the member that alone probes the endpoint, just before
	// the endpoint recovers; empty: none
	ProbeFault       string
	EndpointDowntime time.Duration // how long the endpoint is unavailable before any sender is killed; 0: never
	Kill             int           // senders that are killed after the first phase; the others receive their traffic
}

// Phase is the result of one phase.
type Phase struct {
	Name       string  `json:"name"`
	Used       float64 `json:"used"`    // share of the limit
	Refused    float64 `json:"refused"` // share of all calls that the endpoint refused
	Lost       float64 `json:"lost"`    // calls per second that failed while the endpoint was unavailable
	Collapses  int64   `json:"falls"`   // failures of the recovering endpoint under too many calls
	SoleProbes int     `json:"hands"`   // times that a member became the only one to probe
	WasLeader  bool    `json:"led"`     // the member with ProbeFault was also the leader
}

// settleTime is the time within which all senders have detected that an endpoint is unavailable.
const settleTime = 6 * time.Second

// start starts the senders and their endpoint. ports has the client address of each sender by name; in a
// group the first three senders are voters.
func (s LimitScenario) start() (endpoint *Endpoint, cluster *Cluster, names []string, ports map[string]string,
	err error,
) {
	if endpoint, err = NewEndpoint(s.LimitPerS); err != nil {
		return nil, nil, nil, nil, err
	}
	names, _ = Scenario{Members: s.Senders}.Names()
	ports = map[string]string{}
	voting := names[:min(3, len(names))]
	cluster, err = NewCluster(s.Program, s.Dir, names, voting, 1, NewTimeline(), func(m *Member) string {
		ports[m.Name] = "127.0.0.1:" + m.freeClientPort()
		return s.config(m, voting, ports[m.Name], endpoint.Addr())
	})
	if err == nil {
		if err = cluster.StartMembers(); err != nil {
			cluster.Close()
		}
	}
	if err != nil {
		endpoint.Close()
	}
	return endpoint, cluster, names, ports, err
}

// probeLease is the lease on the probe attempts at destination 1, named after the duty in config.
const probeLease = "back@1"

// probeFaultTime is the length of ProbeFault. It is longer than the lease, so that the duty changes its holder.
const probeFaultTime = 2500 * time.Millisecond

// probeFaultLead is how long before the endpoint's recovery ProbeFault begins.
const probeFaultLead = 20 * time.Millisecond

// soleProbes counts in the logs of all members how often one became the only one to probe an endpoint.
func (c *Cluster) soleProbes() (count int) {
	for _, m := range c.Members {
		raw, _ := os.ReadFile(m.LogFile)
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "tried by one member") && strings.Contains(line, `"mine":true`) {
				count++
			}
		}
	}
	return count
}

// limitRun is one run of a LimitScenario. It is not safe for concurrent use.
type limitRun struct {
	LimitScenario

	endpoint *Endpoint
	cluster  *Cluster
	names    []string                 // of the members
	rates    map[string]*atomic.Int64 // of their clients, in thousandths of a message per second
	phases   []Phase
}

// Run runs the scenario and returns its phases, also those before an error.
func (s LimitScenario) Run() (phases []Phase, err error) {
	endpoint, cluster, names, ports, err := s.start()
	if err != nil {
		return nil, err
	}
	defer endpoint.Close()
	defer cluster.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	run := &limitRun{
		LimitScenario: s, endpoint: endpoint, cluster: cluster, names: names,
		rates: map[string]*atomic.Int64{},
	}
	for _, name := range names {
		run.rates[name] = &atomic.Int64{}
	}
	run.setRates(s.Senders)
	for _, name := range names {
		clients.Add(1)
		go func() { defer clients.Done(); Load(ctx, ports[name], name, run.rates[name]) }()
	}
	run.measure("all", s.WarmUp)
	if s.EndpointDowntime > 0 {
		var fatal bool
		if fatal, err = run.endpointReturn(); fatal {
			return run.phases, err
		}
	}
	if s.Kill > 0 {
		for _, name := range names[s.Senders-s.Kill:] {
			cluster.Proc(name).Kill()
		}
		run.setRates(s.Senders - s.Kill)
		run.measure(fmt.Sprintf("%d of %d killed", s.Kill, s.Senders), s.WarmUp)
	} else {
		err = errors.Join(err, cluster.crashed())
	}
	if err != nil {
		err = errors.Join(err, cluster.logTails())
	}
	return run.phases, err
}

// setRates divides the demand among the first alive members; the first one receives half of it.
func (r *limitRun) setRates(alive int) {
	total := r.LimitPerS * r.Demand * 1000
	for i, name := range r.names {
		switch {
		case i >= alive:
			r.rates[name].Store(0)
		case alive == 1 || i == 0:
			r.rates[name].Store(int64(total / 2 * float64(1+1/alive)))
		default:
			r.rates[name].Store(int64(total / 2 / float64(alive-1)))
		}
	}
}

// measure adds a phase of length Each that begins after warmUp.
func (r *limitRun) measure(name string, warmUp time.Duration) {
	time.Sleep(warmUp)
	accepted, refused := r.endpoint.Accepted.Load(), r.endpoint.Refused.Load()
	time.Sleep(r.PhaseLength)
	accepted, refused = r.endpoint.Accepted.Load()-accepted, r.endpoint.Refused.Load()-refused
	r.phases = append(r.phases, Phase{
		Name: name, Used: float64(accepted) / (r.LimitPerS * r.PhaseLength.Seconds()),
		Refused: float64(refused) / float64(max(1, accepted+refused)),
	})
}

// endpointReturn makes the endpoint unavailable for EndpointDowntime and measures its recovery. After a fatal
// error the scenario cannot continue.
func (r *limitRun) endpointReturn() (fatal bool, err error) {
	r.endpoint.SetDown(true)
	time.Sleep(settleTime)
	lost := r.endpoint.Lost.Load()
	time.Sleep(r.EndpointDowntime)
	lostPerS := float64(r.endpoint.Lost.Load()-lost) / r.EndpointDowntime.Seconds()
	if r.ColdReturn {
		r.endpoint.SetColdReturn()
	}
	var faultEnded chan error
	wasLeader := false
	if r.ProbeFault != "" && r.Group {
		holder := r.cluster.Holder(probeLease)
		if holder == "" {
			return true, errors.Join(errors.New("fleet: no member probes the unavailable endpoint"), r.cluster.logTails())
		}
		wasLeader = r.cluster.resolve("leader") == holder
		faultEnded = make(chan error, 1)
		go func() {
			faultEnded <- r.cluster.Run([]Step{{Fault: r.ProbeFault, Targets: []string{holder}, Length: probeFaultTime}})
		}()
		time.Sleep(probeFaultLead)
	}
	r.endpoint.SetDown(false)
	r.measure("back", 0)
	last := &r.phases[len(r.phases)-1]
	last.Lost, last.Collapses = lostPerS, r.endpoint.Collapses.Load()
	last.SoleProbes, last.WasLeader = r.cluster.soleProbes(), wasLeader
	if faultEnded != nil {
		err = <-faultEnded
	}
	return false, err
}

// config returns the text of a member's configuration file.
func (s LimitScenario) config(member *Member, voters []string, listen, endpoint string) string {
	senders := "" // without KnownCount the key is left out, as older versions of the program reject it
	if s.KnownCount {
		senders = fmt.Sprintf("senders = %d\n", s.Senders)
	}
	text := fmt.Sprintf(`name = %q
[limits]
disk_mb = 16
[console]
socket = "b.sock"
[resp]
listen = %q
finals = "127.0.0.1:1"
[sender]
%sslots = 16
hold = 400
retry_after_max_ms = %d
[[class]]
name = "safe"
effect = "repeatable"
aim_ms = 5000
deadline_ms = 20000
worth = 1
[[route]]
name = "r"
dest = 1
proto = "http"
dial = %q
`, member.Name, listen, senders, cmp.Or(s.MaxRetryAfter, 3*time.Second).Milliseconds(), endpoint)
	if !s.Group {
		return text
	}
	text += fmt.Sprintf("[group]\nname = %q\nlisten = %q\nlease_ms = 1000\nmembers = [", member.Name, member.Listen)
	for _, voter := range voters {
		text += fmt.Sprintf("%q, ", voter+"="+member.Addrs[voter])
	}
	return text + fmt.Sprintf("]\n[[duty]]\nname = \"sum\"\nkind = \"limit\"\ndest = 1\nper_s = %g\n[[duty]]\nname "+
		"= \"back\"\nkind = \"return\"\n", s.LimitPerS)
}
