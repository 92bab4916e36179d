package fleet

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cost is the resource use of an idle member: the median over all members, and the leader's.
type Cost struct {
	Members         int
	CPU, LeaderCPU  float64 // share of a core
	RSSMB, LeaderMB float64
	BytesPerS       float64 // over the links, both ways, per member
	WithoutGroup    bool    // the senders ran without a group, for comparison
}

// MeasureCost runs the members without faults and measures their resource use over duration, as a group or as
// senders without one.
func (s Scenario) MeasureCost(duration time.Duration, withoutGroup bool) (cost Cost, err error) {
	timeline := NewTimeline()
	receiver, err := NewReceiver(timeline)
	if err != nil {
		return cost, err
	}
	defer receiver.Close()
	members, duties := s.Names()
	cluster, err := NewCluster(s.Program, s.Dir, members, members[:voters(len(members))], s.Seed, timeline,
		func(m *Member) string {
			text := s.config(m, members, duties, receiver.Addr())
			if withoutGroup {
				text, _, _ = strings.Cut(text, "[group]")
			}
			return text
		})
	if err != nil {
		return cost, err
	}
	defer cluster.Close()
	if err := cluster.StartMembers(); err != nil {
		return cost, err
	}
	if withoutGroup {
		time.Sleep(3 * time.Second)
	} else if err := waitForExecutions(timeline, duties, 0); err != nil {
		return cost, err
	}
	time.Sleep(5 * time.Second) // leaves out the cost of the start
	leader := cluster.resolve("leader")
	before, bytesBefore := map[string]float64{}, cluster.bytesCarried()
	for _, m := range cluster.Members {
		before[m.Name] = cpuSeconds(cluster.Proc(m.Name).Pid())
	}
	time.Sleep(duration)
	cost.Members, cost.WithoutGroup = len(members), withoutGroup
	cost.BytesPerS = float64(cluster.bytesCarried()-bytesBefore) / duration.Seconds() / float64(len(members))
	var cpu, rss []float64
	for _, m := range cluster.Members {
		pid := cluster.Proc(m.Name).Pid()
		used, mb := (cpuSeconds(pid)-before[m.Name])/duration.Seconds(), rssMB(pid)
		if m.Name == leader {
			cost.LeaderCPU, cost.LeaderMB = used, mb
		}
		cpu, rss = append(cpu, used), append(rss, mb)
	}
	slices.Sort(cpu)
	slices.Sort(rss)
	cost.CPU, cost.RSSMB = cpu[len(cpu)/2], rss[len(rss)/2]
	return cost, nil
}

// bytesCarried returns the number of stream bytes that all links have forwarded.
func (c *Cluster) bytesCarried() (n int64) {
	for _, link := range c.links {
		n += link.Bytes()
	}
	return n
}

// clockTick is the unit of CPU time in /proc, in seconds; Linux reports hundredths on all machines.
const clockTick = 0.01

// cpuSeconds returns the CPU time that a process has used; 0 if it cannot be read.
func cpuSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) * clockTick
}

// rssMB returns the resident memory of a process; 0 if it cannot be read.
func rssMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := bytes.Fields(raw)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(string(fields[1]), 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
