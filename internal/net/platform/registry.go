package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/logic"
	"brackendale/sender"
)

const (
	watchMs    = 20_000
	agentLimit = time.Second            // for connects to the agent, and for answers that come at once
	againGap   = 50 * time.Millisecond  // before a watch that failed is asked again: within 200 ms
	watchSlack = 500 * time.Millisecond // after a watch's own time
)

// Registry keeps the route table by a watch on the registry's agent.
type Registry struct {
	core *sender.Sender
	r    *reactor.Reactor
	addr string
	seq  int64
	link *link
}

// Watch starts with the list that the sender last held and keeps it up to date.
func Watch(core *sender.Sender, r *reactor.Reactor, addr string, known config.List) *Registry {
	g := &Registry{core: core, r: r, addr: addr, seq: known.Seq}
	core.Routes("stale_copy", Routes(known))
	r.Post(g.ask)
	return g
}

// Routes words a list of the registry as the route table's.
func Routes(l config.List) []sender.Route {
	states := map[string]string{"active": "live", "leaving": "quiescing", "left": "dead"}
	var list []sender.Route
	for _, h := range l.Hosts {
		state := states[h.Health]
		if state == "" {
			state = "quiescing" // a word that is not known: nothing new until it is
		}
		proto := h.Proto
		if proto == "" {
			proto = Proto
		}
		list = append(list, sender.Route{Dial: h.Dial, Proto: proto, Endpoint: logic.Endpoint{Addr: h.Host,
			Zone: h.Site, Kind: h.Class, Dest: h.Block, State: state, Hint: h.Share}})
	}
	return list
}

// Move leaves the agent for another one: nothing is awaited from the old, and the new is asked for the whole
// list, since versions that the old one told may mean something else there.
func (g *Registry) Move(addr string) {
	if addr == g.addr {
		return
	}
	old := g.link
	g.addr, g.seq, g.link = addr, 0, nil
	g.ask()
	if old != nil {
		old.drop()
	}
}

func (g *Registry) ask() {
	if g.link == nil || g.link.conn.Dead() {
		g.link = dial(g.r, g.addr, agentLimit, agentMost)
	}
	path, limit := "/registry/instances", agentLimit
	if g.seq > 0 {
		path += "?index=" + strconv.FormatInt(g.seq, 10) + "&wait=" + strconv.Itoa(watchMs)
		limit = watchMs*time.Millisecond + watchSlack
	}
	l := g.link
	var timer timers.Timer
	g.r.Arm(&timer, limit, 0, timers.Func(l.drop))
	l.do(func(a *http1.Response, err error) {
		g.r.Disarm(&timer)
		if g.link != l { // of an agent that was left: what it still says is no news
			return
		}
		if err == nil {
			err = g.take(a)
		}
		if err == nil { // the link is free once this has returned
			g.r.Post(g.ask)
			return
		}
		l.conn.Close()
		g.link = nil
		g.r.After(againGap, g.ask)
	}, get(path, g.addr))
}

func (g *Registry) take(a *http1.Response) error {
	if a.Status != 200 {
		return fmt.Errorf("registry: status %d", a.Status)
	}
	var l config.List
	if err := json.Unmarshal(a.Body, &l); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	how := "patch"
	if l.Whole {
		how = "whole"
	}
	if l.Whole || len(l.Hosts) > 0 {
		g.core.Routes(how, Routes(l))
	}
	if g.seq = l.Seq; g.seq <= 0 { // without a version there is nothing to watch from: asked again, but not at once
		return errors.New("registry: a list without a version")
	}
	return nil
}

func get(path, host string) []byte {
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}
