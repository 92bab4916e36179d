package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Scenario is a group of members with duties of the kind "call", a fault schedule, and a receiver that
// records the executions of the duties.
type Scenario struct {
	Program           string // path of the sender's executable
	Dir               string // for state folders, configuration files and logs
	Members           int    // up to five of them are voters
	Duties            int
	Lease             time.Duration
	Interval          time.Duration // between two executions of a duty
	MaxDuration       time.Duration // maximum duration of an execution
	ExecutionTime     time.Duration // how long the receiver takes for an execution
	Seed              int64
	Plan              []Step
	AcceptStaleEpochs bool // the receiver accepts executions of stale epochs
}

// Report is the result of a scenario.
type Report struct {
	Seed      int64      `json:"seed"`
	Plan      []string   `json:"plan"`
	Verdict   Verdict    `json:"verdict"`
	Handovers []Handover `json:"handovers"`
	Pauses    []Pause    `json:"lapses"`
}

// Pause summarizes how long duties were not executed after one kind of fault.
type Pause struct {
	Fault                string        `json:"fault"`
	Count                int           `json:"count"`
	Median, P90, Longest time.Duration `json:"-"`
	MedianMs             float64       `json:"median_ms"`
	P90Ms                float64       `json:"p90_ms"`
	LongestMs            float64       `json:"longest_ms"`
}

// Names returns the names of the scenario's members and duties.
func (s Scenario) Names() (members, duties []string) {
	for i := range s.Members {
		members = append(members, string(rune('a'+i%26))+strings.Repeat("x", i/26))
	}
	for i := range s.Duties {
		duties = append(duties, fmt.Sprintf("duty%d", i+1))
	}
	return members, duties
}

// voters returns the number of voters in a group of so many members.
func voters(members int) int {
	switch {
	case members >= 5:
		return 5
	case members >= 3:
		return 3
	}
	return 1
}

// config returns the text of a member's configuration file.
func (s Scenario) config(member *Member, members, duties []string, receiver string) string {
	var text strings.Builder
	fmt.Fprintf(&text, `name = %q
[limits]
disk_mb = 16
[console]
socket = "b.sock"
[resp]
listen = "127.0.0.1:%s"
finals = "127.0.0.1:1"
[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
[[route]]
name = "r"
dest = 1
proto = "http"
dial = "127.0.0.1:1"
[group]
name = %q
listen = %q
lease_ms = %d
drift = 0.01
members = [`, member.Name, member.freeClientPort(), member.Name, member.Listen, s.Lease.Milliseconds())
	for _, voter := range members[:voters(len(members))] {
		fmt.Fprintf(&text, "%q, ", voter+"="+member.Addrs[voter])
	}
	text.WriteString("]\n")
	for _, duty := range duties {
		fmt.Fprintf(&text,
			"[[duty]]\nname = %q\nkind = \"call\"\nurl = \"http://%s/act\"\nevery_ms = %d\nlongest_ms = %d\n",
			duty, receiver, s.Interval.Milliseconds(), s.MaxDuration.Milliseconds())
	}
	return text.String()
}

// freeClientPort returns a free port for the member's clients; "0" lets the member choose one.
func (m *Member) freeClientPort() string {
	addr, err := FreePort()
	if err != nil {
		return "0"
	}
	_, port, _ := net.SplitHostPort(addr)
	return port
}

// executionTimeout is the maximum wait for executions of all duties.
const executionTimeout = 30 * time.Second

// Run waits until all duties are executed, runs the plan, and waits until all duties are executed again.
func (s Scenario) Run() (Report, *Timeline, error) {
	timeline := NewTimeline()
	report := Report{Seed: s.Seed}
	for _, step := range s.Plan {
		report.Plan = append(report.Plan, step.String())
	}
	receiver, err := NewReceiver(timeline)
	if err != nil {
		return report, timeline, err
	}
	defer receiver.Close()
	receiver.SetBehavior(s.ExecutionTime, 0, s.AcceptStaleEpochs)
	members, duties := s.Names()
	cluster, err := NewCluster(s.Program, s.Dir, members, nil, s.Seed, timeline,
		func(member *Member) string { return s.config(member, members, duties, receiver.Addr()) })
	if err != nil {
		return report, timeline, err
	}
	defer cluster.Close()
	cluster.Resolve = func(target string) string { return cluster.resolve(target) }
	if err := cluster.StartMembers(); err != nil {
		return report, timeline, err
	}
	if err := waitForExecutions(timeline, duties, 0); err != nil {
		return report, timeline, errors.Join(err, cluster.logTails())
	}
	err = cluster.Run(s.Plan)
	if err == nil {
		err = waitForExecutions(timeline, duties, timeline.Now())
	}
	err = errors.Join(err, cluster.crashed())
	events := timeline.Events()
	report.Verdict, report.Handovers = Check(events), Handovers(events, s.Lease)
	report.Pauses = Pauses(report.Handovers)
	if err != nil {
		err = errors.Join(err, cluster.logTails())
	}
	return report, timeline, err
}

// waitForExecutions waits until each duty has been executed later than after.
func waitForExecutions(timeline *Timeline, duties []string, after time.Duration) error {
	for end := time.Now().Add(executionTimeout); ; time.Sleep(10 * time.Millisecond) {
		missing := slices.Clone(duties)
		for _, event := range timeline.Events() {
			if event.Kind == EventExecution && event.At > after {
				missing = slices.DeleteFunc(missing, func(duty string) bool { return duty == event.Duty })
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fleet: no member executes %s", strings.Join(missing, ", "))
		}
	}
}

// crashed returns an error for each member whose process has ended.
func (c *Cluster) crashed() (err error) {
	for _, member := range c.Members {
		if ended, cause := c.Proc(member.Name).Ended(); ended {
			err = errors.Join(err, fmt.Errorf("fleet: the process of %s has ended: %w", member.Name, cause))
		}
	}
	return err
}

// logTails returns the ends of the members' logs, as an error.
func (c *Cluster) logTails() error {
	var tails []error
	for _, member := range c.Members {
		raw, _ := os.ReadFile(member.LogFile)
		tails = append(tails, fmt.Errorf("end of the log of %s: %s", member.Name, raw[max(0, len(raw)-3000):]))
	}
	return errors.Join(tails...)
}

// resolve returns the member for the target leader or holder:DUTY; empty: none is known.
func (c *Cluster) resolve(target string) string {
	if duty, ok := strings.CutPrefix(target, "holder:"); ok {
		member := ""
		for _, event := range c.History.Events() {
			if event.Kind == EventExecution && event.Duty == duty {
				member = event.Member
			}
		}
		return member
	}
	if target != "leader" {
		return ""
	}
	for _, peer := range c.Members {
		var reply struct {
			Members []struct {
				Name   string
				Leader bool
			}
		}
		if AskSocket(peer.Socket(), "members", &reply) != nil {
			continue
		}
		for _, listed := range reply.Members {
			if listed.Leader {
				return listed.Name
			}
		}
	}
	return ""
}

// Holder returns the holder of a lease according to the first member that knows one; empty: none is known.
func (c *Cluster) Holder(lease string) string {
	for _, member := range c.Members {
		var reply struct {
			Duties []struct{ Name, Holder string }
		}
		if AskSocket(member.Socket(), "duties", &reply) != nil {
			continue
		}
		for _, duty := range reply.Duties {
			if duty.Name == lease && duty.Holder != "" {
				return duty.Holder
			}
		}
	}
	return ""
}

// AskSocket sends one command to the console socket at path and decodes the reply, within a second.
func AskSocket(path, command string, reply any) error {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return err
	}
	return json.NewDecoder(conn).Decode(reply)
}

// Pauses summarizes handovers by the kind of fault.
func Pauses(handovers []Handover) (pauses []Pause) {
	durations := map[string][]time.Duration{}
	for _, handover := range handovers {
		fault := cmp.Or(handover.Fault, "none")
		durations[fault] = append(durations[fault], handover.Took)
	}
	for fault, sorted := range durations {
		slices.Sort(sorted)
		quantile := func(share float64) time.Duration { return sorted[int(math.Ceil(share*float64(len(sorted))))-1] }
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		pause := Pause{
			Fault: fault, Count: len(sorted), Median: quantile(0.5), P90: quantile(0.9), Longest: sorted[len(sorted)-1],
		}
		pause.MedianMs, pause.P90Ms, pause.LongestMs = ms(pause.Median), ms(pause.P90), ms(pause.Longest)
		pauses = append(pauses, pause)
	}
	slices.SortFunc(pauses, func(a, b Pause) int { return cmp.Compare(a.Fault, b.Fault) })
	return pauses
}

// TempDir makes a folder for a scenario, with a path short enough for a Unix socket in it.
func TempDir() (string, error) { return os.MkdirTemp(filepath.Clean(os.TempDir()), "fleet") }
