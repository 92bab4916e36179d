package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Member is one sender of a cluster with its files; its process may be restarted many times.
type Member struct {
	Name       string
	Listen     string            // address for the other members of the group
	StateDir   string            // state folder
	ConfigFile string            // path of the configuration file
	LogFile    string            // output of all its processes
	Addrs      map[string]string // address at which it reaches each member, including itself, by name
	proc       *Proc
	log        *os.File
}

// Socket returns the path of the member's console socket.
func (m *Member) Socket() string { return filepath.Join(m.StateDir, "b.sock") }

// Cluster is a set of members with a link from each member to each other one.
type Cluster struct {
	History *Timeline
	Members []*Member
	// Resolve returns the member that a target of a plan (leader, holder:DUTY) stands for at present; empty: none. If
	// nil, targets are names of members only.
	Resolve func(target string) string

	program   string
	dir       string
	links     map[[2]string]*Link // by caller and target
	mu        sync.Mutex
	faults    map[int]fault // currently injected, by id
	nextFault int
}

// fault returns the conditions of the link between two members, outbound and inbound.
type fault func(from, to string) (outbound, inbound LinkConditions)

// NewCluster prepares members of those names in dir; config returns the text of a member's configuration file. Only
// the members in targets have links to them; nil: all members.
func NewCluster(program, dir string, names, targets []string, seed int64, timeline *Timeline,
	config func(*Member) string,
) (*Cluster, error) {
	c := &Cluster{History: timeline, program: program, dir: dir, links: map[[2]string]*Link{}, faults: map[int]fault{}}
	for _, name := range names {
		member := &Member{
			Name: name, StateDir: filepath.Join(dir, name), ConfigFile: filepath.Join(dir, name+".toml"),
			LogFile: filepath.Join(dir, name+".log"),
			Addrs:   map[string]string{},
		}
		if err := os.MkdirAll(member.StateDir, 0o700); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		addr, err := FreePort()
		if err != nil {
			return nil, err
		}
		member.Listen = addr
		if member.log, err = os.OpenFile(member.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		c.Members = append(c.Members, member)
	}
	for _, caller := range c.Members {
		for _, target := range c.Members {
			if caller.Addrs[target.Name] = target.Listen; caller == target ||
				targets != nil && !slices.Contains(targets, target.Name) {
				continue
			}
			link, err := NewLink(target.Listen, seed+int64(len(c.links)))
			if err != nil {
				c.Close()
				return nil, err
			}
			c.links[[2]string{caller.Name, target.Name}] = link
			caller.Addrs[target.Name] = link.Addr()
		}
	}
	for _, member := range c.Members {
		if err := os.WriteFile(member.ConfigFile, []byte(config(member)), 0o600); err != nil {
			c.Close()
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	return c, nil
}

// Member returns the member of that name; nil: there is none.
func (c *Cluster) Member(name string) *Member {
	for _, member := range c.Members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// StartMembers starts the processes of the named members; no name: of all members.
func (c *Cluster) StartMembers(names ...string) error {
	for _, member := range c.Members {
		if len(names) > 0 && !slices.Contains(names, member.Name) {
			continue
		}
		process, err := Start(c.program, []string{"serve", "--config", member.ConfigFile},
			[]string{"LB_STATE=" + member.StateDir}, member.log)
		if err != nil {
			return err
		}
		c.mu.Lock()
		member.proc = process
		c.mu.Unlock()
		c.History.Add(Event{Member: member.Name, Kind: EventStart})
	}
	return nil
}

// Proc returns the latest process of a member; nil: it was never started.
func (c *Cluster) Proc(name string) *Proc {
	c.mu.Lock()
	defer c.mu.Unlock()
	if member := c.Member(name); member != nil {
		return member.proc
	}
	return nil
}

// Close kills all processes and closes all links.
func (c *Cluster) Close() {
	for _, member := range c.Members {
		if process := c.Proc(member.Name); process != nil {
			process.Kill()
		}
		if member.log != nil {
			_ = member.log.Close()
		}
	}
	for _, link := range c.links {
		link.Close()
	}
}

// InjectFault applies a fault to the links until heal is called.
func (c *Cluster) InjectFault(change fault) (heal func()) {
	c.mu.Lock()
	c.nextFault++
	id := c.nextFault
	c.faults[id] = change
	c.mu.Unlock()
	c.applyFaults()
	return func() {
		c.mu.Lock()
		delete(c.faults, id)
		c.mu.Unlock()
		c.applyFaults()
	}
}

// applyFaults sets the conditions of every link to the combination of all injected faults.
func (c *Cluster) applyFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pair, link := range c.links {
		var outbound, inbound LinkConditions
		for _, change := range c.faults {
			out, in := change(pair[0], pair[1])
			outbound, inbound = outbound.combine(out), inbound.combine(in)
		}
		link.Set(outbound, inbound)
	}
}

// combine returns the effect of both conditions together.
func (a LinkConditions) combine(other LinkConditions) LinkConditions {
	bytesPerS := min(a.BytesPerS, other.BytesPerS) // 0 is unlimited
	if bytesPerS == 0 {
		bytesPerS = max(a.BytesPerS, other.BytesPerS)
	}
	return LinkConditions{
		Cut: a.Cut || other.Cut, Delay: a.Delay + other.Delay, Jitter: a.Jitter + other.Jitter, BytesPerS: bytesPerS,
		Drop: max(a.Drop, other.Drop), Duplicate: max(a.Duplicate, other.Duplicate),
		DuplicateDelay: max(a.DuplicateDelay, other.DuplicateDelay),
	}
}

// between returns the fault that applies conditions to the traffic from one member to another, over either's link.
func between(conditions func(from, to string) LinkConditions) fault {
	return func(from, to string) (LinkConditions, LinkConditions) {
		return conditions(from, to), conditions(to, from)
	}
}

func cutIf(cut bool) LinkConditions { return LinkConditions{Cut: cut} }

// linkFault returns the fault of a step that only changes links; false for other steps.
func linkFault(step Step, targets []string) (fault, bool) {
	affected := func(name string) bool { return slices.Contains(targets, name) }
	switch step.Fault {
	case faultCut, faultPart:
		return between(func(from, to string) LinkConditions { return cutIf(affected(from) != affected(to)) }), true
	case faultMute:
		return between(func(from, _ string) LinkConditions { return cutIf(affected(from)) }), true
	case faultDeaf:
		return between(func(_, to string) LinkConditions { return cutIf(affected(to)) }), true
	case faultBridge:
		return between(func(from, to string) LinkConditions { return cutIf(affected(from) && affected(to)) }), true
	case faultSlow:
		return between(func(from, to string) LinkConditions {
			if affected(from) || affected(to) {
				return LinkConditions{Jitter: max(step.Length/4, time.Millisecond)}
			}
			return LinkConditions{}
		}), true
	}
	return nil, false
}

// Run runs a plan: each step begins at its time and ends after its length. It returns when all steps have ended.
func (c *Cluster) Run(plan []Step) error {
	for _, m := range c.Members {
		if slices.ContainsFunc(plan, func(step Step) bool { return step.Fault == faultOld }) {
			if err := Backup(m.StateDir, c.backup(m)); err != nil {
				return err
			}
		}
	}
	start := time.Now()
	errs := make([]error, len(plan))
	var pending sync.WaitGroup
	for i, step := range plan {
		time.Sleep(time.Until(start.Add(step.At)))
		pending.Add(1)
		targets := make([]string, len(step.Targets))
		for j, target := range step.Targets {
			targets[j] = c.member(target)
		}
		event := Event{Member: strings.Join(targets, "+"), Kind: step.Fault, Text: step.String()}
		if step.Fault == faultHand {
			event.Duty = transferredDuty
		}
		c.History.Add(event)
		undo, err := c.begin(step, targets)
		errs[i] = err
		go func() {
			defer pending.Done()
			time.Sleep(step.Length)
			if undo != nil {
				errs[i] = errors.Join(errs[i], undo())
				c.History.Add(Event{Member: strings.Join(targets, "+"), Kind: EventFaultEnded, Text: step.Fault})
			}
		}()
	}
	pending.Wait()
	return errors.Join(errs...)
}

func (c *Cluster) backup(member *Member) string { return filepath.Join(c.dir, member.Name+".backup") }

// member returns the name of the member that a target of a plan stands for; the first member if none is known.
func (c *Cluster) member(target string) string {
	if c.Member(target) != nil {
		return target
	}
	if c.Resolve != nil {
		if name := c.Resolve(target); c.Member(name) != nil {
			return name
		}
	}
	return c.Members[0].Name
}

// begin begins a step and returns a function that ends it; nil: there is nothing to end.
func (c *Cluster) begin(step Step, targets []string) (undo func() error, err error) {
	if change, ok := linkFault(step, targets); ok {
		heal := c.InjectFault(change)
		return func() error { heal(); return nil }, nil
	}
	if step.Fault == faultKillAll {
		targets = nil
		for _, member := range c.Members {
			targets = append(targets, member.Name)
		}
	}
	if step.Fault == faultStop {
		proc := c.Proc(targets[0])
		if proc == nil || proc.Stop() != nil {
			return nil, nil // the process is not running at present
		}
		return func() error { _ = proc.Continue(); return nil }, nil
	}
	if step.Fault == faultFull {
		proc := c.Proc(targets[0])
		if proc == nil || proc.SetDiskFull(true) != nil {
			return nil, nil // the process is not running at present
		}
		return func() error { _ = proc.SetDiskFull(false); return nil }, nil
	}
	if step.Fault == faultHand {
		c.transferDuty(transferredDuty, targets[0])
		return func() error { return nil }, nil
	}
	var ended []string
	for _, name := range targets {
		if proc := c.Proc(name); proc != nil {
			if alreadyEnded, _ := proc.Ended(); alreadyEnded {
				continue // another step has ended it
			}
			if step.Fault == faultTerm {
				go func() { _ = proc.Terminate(terminateTimeout); proc.Kill() }()
			} else {
				go proc.Kill()
			}
			ended = append(ended, name)
		}
	}
	for _, name := range ended {
		<-c.Proc(name).done
		switch member := c.Member(name); step.Fault {
		case faultEmpty:
			err = errors.Join(err, Empty(member.StateDir))
		case faultOld:
			err = errors.Join(err, Restore(c.backup(member), member.StateDir))
		}
	}
	return func() error {
		if len(ended) == 0 {
			return nil
		}
		return c.StartMembers(ended...)
	}, err
}

// terminateTimeout is how long a member may take for its graceful shutdown before it is killed.
const terminateTimeout = 8 * time.Second

// transferredDuty is the duty that the fault "hand" transfers.
const transferredDuty = "duty1"

// transferDuty requests the transfer of a duty to a member, from the first member that accepts the command. It is no
// error if none does.
func (c *Cluster) transferDuty(duty, to string) {
	for _, member := range c.Members {
		var reply struct{ Error string }
		if AskSocket(member.Socket(), "hand "+duty+" "+to, &reply) == nil && reply.Error == "" {
			return
		}
	}
}
