package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// MassRestart is a scenario of senders that share nothing but one endpoint's limit. Some of them are
// killed at the same time and restarted together; their clients then submit at once the messages of the
// downtime.
type MassRestart struct {
	Program          string
	Dir              string
	Senders          int
	Kill             int     // senders that are killed
	LimitPerS        float64 // the endpoint's limit
	MessagesPerS     float64 // of all clients
	WarmUp           time.Duration
	Downtime         time.Duration // between the kill and the restart
	EndpointDowntime time.Duration // of the endpoint before the kill; it recovers at the restart. 0: it stays available
	// what happens to the folders of the killed senders: kept, emptied, old (restored as they were half a
	// WarmUp earlier), torn (corrupted)
	Folders         string
	Waves           int           // number of waves of restarts, waveInterval apart; 0 counts as 1
	Group           bool          // the senders form a group with the limit as a duty
	KnownCount      bool          // each configuration file states the number of senders
	Seed            int64         // of all random choices
	ObservationTime time.Duration // after the restart
}

// The values of MassRestart.Folders.
const (
	foldersKept    = "kept"
	foldersEmptied = "emptied"
	foldersOld     = "old"
	foldersTorn    = "torn"
)

// FolderStates lists the values of MassRestart.Folders.
var FolderStates = []string{foldersKept, foldersEmptied, foldersOld, foldersTorn}

const (
	waveInterval = time.Second
	peakSamples  = 10               // in a peakWindow
	reportedTime = 10 * time.Second // for Calls and Refused
)

// MassRestartReport is the result of a MassRestart; times count from the restart.
type MassRestartReport struct {
	PeakCalls int `json:"most"`    // maximum number of calls in a peakWindow
	Calls     int `json:"calls"`   // in the first reportedTime
	Refused   int `json:"refused"` // of those
	// time until the backlog was at most one second's messages; 0: not within ObservationTime
	CaughtUpAfter time.Duration `json:"behind_ns"`
	Bins          []CallBin     `json:"bins"` // consecutive, from the restart on
}

// CallBin counts the calls that the endpoint received in binLength.
type CallBin struct {
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
}

// binLength is the length of a CallBin.
const binLength = 100 * time.Millisecond

// peakWindow is the time over which MassRestartReport.PeakCalls counts.
const peakWindow = 500 * time.Millisecond

// restartRun is one run of a MassRestart. Only submitted is safe for concurrent use.
type restartRun struct {
	MassRestart

	endpoint  *Endpoint
	cluster   *Cluster
	killed    []string // names of the members that are killed
	rng       *rand.Rand
	submitted atomic.Int64 // messages that were due for submission so far
	tasks     sync.WaitGroup
}

// Run runs the scenario.
func (r MassRestart) Run() (report MassRestartReport, err error) {
	endpoint, cluster, names, ports, err := LimitScenario{
		Program: r.Program, Dir: r.Dir, Senders: r.Senders, LimitPerS: r.LimitPerS,
		Group: r.Group, KnownCount: r.KnownCount,
	}.start()
	if err != nil {
		return report, err
	}
	defer endpoint.Close()
	defer cluster.Close()
	ctx, cancel := context.WithCancel(context.Background())
	run := &restartRun{
		MassRestart: r, endpoint: endpoint, cluster: cluster, killed: names[:r.Kill],
		rng: rand.New(rand.NewSource(r.Seed)),
	}
	defer run.tasks.Wait()
	defer cancel()
	for _, name := range names {
		delay := time.Duration(run.rng.Int63n(int64(time.Second)))
		run.tasks.Add(1)
		go func() { defer run.tasks.Done(); r.client(ctx, ports[name], name, delay, &run.submitted) }()
	}
	err = run.killAll()
	if err = errors.Join(err, run.startWaves(ctx)); err != nil {
		return report, err
	}
	return run.watch(), nil
}

// killAll kills the members after WarmUp, with the endpoint unavailable before that for EndpointDowntime. It
// returns after Downtime, with the folders changed and the endpoint available.
func (r *restartRun) killAll() (err error) {
	time.Sleep(r.WarmUp / 2)
	if r.Folders == foldersOld {
		for _, name := range r.killed {
			member := r.cluster.Member(name)
			err = errors.Join(err, Backup(member.StateDir, r.cluster.backup(member)))
		}
	}
	time.Sleep(r.WarmUp - r.WarmUp/2 - min(r.WarmUp/2, r.EndpointDowntime))
	if r.EndpointDowntime > 0 {
		r.endpoint.SetDown(true)
		time.Sleep(r.EndpointDowntime)
	}
	for _, name := range r.killed {
		go r.cluster.Proc(name).Kill()
	}
	time.Sleep(r.Downtime)
	for _, name := range r.killed {
		<-r.cluster.Proc(name).done
		err = errors.Join(err, r.changeFolder(r.cluster, r.cluster.Member(name), r.rng))
	}
	r.endpoint.SetDown(false)
	return err
}

// startWaves starts the first wave of the killed members now and the others later, waveInterval apart.
func (r *restartRun) startWaves(ctx context.Context) (err error) {
	waves := max(1, r.Waves)
	for i := range waves {
		wave := r.killed[len(r.killed)*i/waves : len(r.killed)*(i+1)/waves]
		if i == 0 {
			err = r.cluster.StartMembers(wave...)
			continue
		}
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			if time.Sleep(time.Duration(i) * waveInterval); ctx.Err() == nil && len(wave) > 0 {
				_ = r.cluster.StartMembers(wave...) // errors of the program itself show in the first wave
			}
		}()
	}
	return err
}

// watch samples the endpoint's counters for ObservationTime, peakSamples times in a peakWindow.
func (r *restartRun) watch() (report MassRestartReport) {
	start := time.Now()
	calls := func() int { return int(r.endpoint.Accepted.Load() + r.endpoint.Refused.Load()) }
	firstCalls, firstRefused := calls(), r.endpoint.Refused.Load()
	var samples []int // calls since start
	var binned CallBin
	for time.Since(start) < r.ObservationTime {
		time.Sleep(peakWindow / peakSamples)
		if binCount := int(time.Since(start) / binLength); binCount > len(report.Bins) {
			total := CallBin{Calls: calls() - firstCalls, Refused: int(r.endpoint.Refused.Load() - firstRefused)}
			report.Bins = append(report.Bins, CallBin{
				Calls:   total.Calls - binned.Calls,
				Refused: total.Refused - binned.Refused,
			})
			binned = total
		}
		current := calls() - firstCalls
		samples = append(samples, current)
		before := 0
		if len(samples) > peakSamples {
			before = samples[len(samples)-peakSamples-1]
		}
		report.PeakCalls = max(report.PeakCalls, current-before)
		if time.Since(start) < reportedTime {
			report.Calls, report.Refused = current, int(r.endpoint.Refused.Load()-firstRefused)
		}
		backlog := float64(r.submitted.Load() - r.endpoint.Accepted.Load())
		if report.CaughtUpAfter == 0 && backlog <= r.MessagesPerS && time.Since(start) > peakWindow {
			report.CaughtUpAfter = time.Since(start)
		}
	}
	return report
}

// changeFolder changes a stopped member's folder as Folders specifies.
func (r MassRestart) changeFolder(cluster *Cluster, member *Member, rng *rand.Rand) (err error) {
	switch r.Folders {
	case foldersEmptied:
		return Empty(member.StateDir)
	case foldersOld:
		return Restore(cluster.backup(member), member.StateDir)
	case foldersTorn:
		for _, file := range []string{"spool", "memory"} {
			if _, corruptErr := Corrupt(filepath.Join(member.StateDir, file), rng); !errors.Is(corruptErr, fs.ErrNotExist) {
				err = errors.Join(err, corruptErr)
			}
		}
	}
	return err
}

// client submits messages to one sender at an even rate, from delay on. Messages that are due while the sender
// is down are submitted together once it is available. Each message is added to submitted when it is due.
func (r MassRestart) client(ctx context.Context, addr, name string, delay time.Duration, submitted *atomic.Int64) {
	interval := time.Duration(float64(time.Second) * float64(r.Senders) / r.MessagesPerS)
	next := time.Now().Add(delay)
	var conn net.Conn
	var replies *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	serial := 0
	var pending []string // not accepted yet
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(interval)
		serial++
		submitted.Add(1)
		pending = append(pending, fmt.Sprintf("%s-%d", name, serial))
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				continue
			}
			conn, replies = dialed, bufio.NewReader(dialed)
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		var err error
		if pending, err = submitAll(conn, replies, pending); err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}

// submitAll submits messages in batches, up to the first error of the connection. It returns the ids of those
// that were not accepted.
func submitAll(conn io.Writer, replies *bufio.Reader, ids []string) (unaccepted []string, err error) {
	for len(ids) > 0 && err == nil {
		batch := ids[:min(submitBatch, len(ids))]
		ids = ids[len(batch):]
		_, err = io.WriteString(conn, submitCommands(batch...))
		for _, id := range batch {
			line := ""
			if err == nil {
				line, err = replies.ReadString('\n')
			}
			if !strings.HasPrefix(line, "+OK") {
				unaccepted = append(unaccepted, id)
			}
		}
	}
	return append(unaccepted, ids...), err
}
