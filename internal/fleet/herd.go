package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Herd is senders that share nothing but one partner's limit, most of which are killed in one instant and come back together,
// while their clients hand in at once what came meanwhile.
type Herd struct {
	Program string
	Dir     string
	Senders int
	Kill    int     // of them
	PerS    float64 // the partner's limit
	Come    float64 // messages a second of all
	Warm    time.Duration
	Out     time.Duration // how long those that are killed are away
	Down    time.Duration // so long before they are killed the partner goes down; it is back with them. 0: it stays up
	Empty   bool          // their folders are emptied meanwhile
	Watch   time.Duration // after they are back
}

// HerdReport is what came of it, counted from when the senders were started again.
type HerdReport struct {
	Most    int           // calls in half a second, at most
	Calls   int           // in the first ten seconds
	Refused int           // of those
	Behind  time.Duration // until no more than a second's messages were not delivered; 0: not while it was watched
}

// bin is that of Most.
const bin = 500 * time.Millisecond

// Play plays it.
func (g Herd) Play() (rep HerdReport, err error) {
	p, w, names, ports, err := LimitGame{Program: g.Program, Dir: g.Dir, Senders: g.Senders, PerS: g.PerS}.before()
	if err != nil {
		return rep, err
	}
	defer p.Close()
	defer w.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	var came atomic.Int64
	for i, n := range names {
		all.Add(1)
		go func() {
			defer all.Done()
			g.client(ctx, ports[n], n, time.Duration(i)*time.Second/time.Duration(g.Senders), &came)
		}()
	}
	time.Sleep(g.Warm - min(g.Warm, g.Down))
	if g.Down > 0 {
		p.Down(true)
		time.Sleep(g.Down)
	}
	killed := names[:g.Kill]
	for _, n := range killed {
		go w.Proc(n).Kill()
	}
	time.Sleep(g.Out)
	for _, n := range killed {
		<-w.Proc(n).done
		if g.Empty {
			err = errors.Join(err, Empty(filepath.Join(g.Dir, n)))
		}
	}
	p.Down(false)
	if err = errors.Join(err, w.Up(killed...)); err != nil {
		return rep, err
	}
	began := time.Now()
	calls := func() int { return int(p.Taken.Load() + p.Refused.Load()) }
	first, refused := calls(), p.Refused.Load()
	var at []int // calls at the end of each tenth of a bin
	for time.Since(began) < g.Watch {
		time.Sleep(bin / 10)
		at = append(at, calls()-first)
		before := 0
		if len(at) > 10 {
			before = at[len(at)-11]
		}
		rep.Most = max(rep.Most, at[len(at)-1]-before)
		if time.Since(began) < 10*time.Second {
			rep.Calls, rep.Refused = at[len(at)-1], int(p.Refused.Load()-refused)
		}
		if behind := float64(came.Load() - p.Taken.Load()); rep.Behind == 0 && behind <= g.Come && time.Since(began) > bin {
			rep.Behind = time.Since(began)
		}
	}
	return rep, nil
}

// client hands in what comes for one sender, evenly; what comes while it is away is handed in at once when it is back.
func (g Herd) client(ctx context.Context, addr, name string, from time.Duration, came *atomic.Int64) {
	gap := time.Duration(float64(time.Second) * float64(g.Senders) / g.Come)
	next := time.Now().Add(from)
	var c net.Conn
	var in *bufio.Reader
	n := 0
	var waits []string // not taken on yet
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(gap)
		n++
		came.Add(1)
		waits = append(waits, fmt.Sprintf("%s-%d", name, n))
		if c == nil {
			d, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				continue
			}
			c, in = d, bufio.NewReader(d)
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		var left []string
		for len(waits) > 0 { // at most sixteen at once
			some := waits[:min(16, len(waits))]
			waits = waits[len(some):]
			var text strings.Builder
			for _, id := range some {
				text.WriteString("*5\r\n")
				for _, word := range []string{"SUBMIT", "0", id, "c=safe,t=x,d=20000,dest=1", "body"} {
					fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
				}
			}
			_, err := io.WriteString(c, text.String())
			for _, id := range some {
				line := ""
				if err == nil {
					line, err = in.ReadString('\n')
				}
				if !strings.HasPrefix(line, "+OK") {
					left = append(left, id)
				}
			}
			if err != nil {
				_ = c.Close()
				c = nil
				break
			}
		}
		waits = append(left, waits...)
	}
	if c != nil {
		_ = c.Close()
	}
}
