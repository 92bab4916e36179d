package conntable

import (
	"net/netip"
	"slices"
	"testing"
	"time"
	"unsafe"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "100") }

// fakeConn is a connection that records how often and why it was evicted.
type fakeConn struct {
	Entry
	peerAddr    netip.Addr
	evictions   int
	evictReason Reason
	sent        int64 // bytes that have arrived
	read        int64 // of these, the bytes that were handled
	mark        int64
	unknown     bool  // the number of bytes that have arrived cannot be determined
	sentAtLimit int64 // in the model: bytes that had arrived when it was found over a limit
	overLimit   bool  // in the model: it was found over a limit
}

func (f *fakeConn) Evict(reason Reason) { f.evictions, f.evictReason = f.evictions+1, reason }
func (f *fakeConn) MarkArrived() bool   { f.mark = f.sent; return !f.unknown }
func (f *fakeConn) MarkHandled() bool   { return f.read >= f.mark }

var limits = Limits{
	MaxConns: 3, PressureShare: 0.75, IdleGrace: 2 * time.Second, FirstFrameGrace: 100 * time.Millisecond,
	FirstFrameTimeout: 2 * time.Second, FrameTimeout: 2 * time.Second,
}

// Connections that were opened at the same time were evicted for each other before their first commands were read.
// Those past their grace period and the recently active ones are to be evicted before them.
func TestNewConnectionsDoNotEvictEachOther(t *testing.T) {
	tb := NewSharedLimit(4).NewTable(Limits{
		MaxConns: 4, IdleGrace: limits.IdleGrace, FirstFrameGrace: limits.FirstFrameGrace,
	})
	list := make([]fakeConn, 6)
	admitted := func(i int, d time.Duration) *Entry {
		e := &list[i].Entry
		if victim, _, ok := tb.Admit(e, &list[i], netip.Addr{}, d); victim != nil || !ok {
			t.Fatal("not admitted, or another connection was evicted:", i)
		}
		return e
	}
	withoutFrame, withRequest := admitted(0, 0), admitted(1, 0)
	tb.Move(withRequest, Idle, time.Second)
	fresh, newest := admitted(2, time.Second), admitted(3, time.Second)
	for i, want := range []*Entry{withoutFrame, withRequest, fresh, newest} {
		if got := tb.chooseVictim(time.Second + 50*time.Millisecond); got != want {
			t.Fatal("another connection would be evicted as number", i)
		}
		tb.Remove(want)
	}
}

// Connections with open requests, and those that the protocol promises to keep, are never evicted for a new one; the
// rejection of a new connection has a reason.
func TestOpenRequestsAreNotEvicted(t *testing.T) {
	shared := NewSharedLimit(3)
	lim := limits
	lim.MaxPerAddr = 2
	a, b := shared.NewTable(lim), shared.NewTable(lim)
	firstAddr, secondAddr := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	list := make([]fakeConn, 9)
	admit := func(tb *Table, i int, peerAddr netip.Addr) (*Entry, Reason, bool) {
		return tb.Admit(&list[i].Entry, &list[i], peerAddr, time.Duration(i))
	}
	for i, c := range []Class{Busy, Persistent} {
		admit(a, i, firstAddr)
		a.Move(&list[i].Entry, c, time.Duration(i))
	}
	if _, reason, ok := admit(a, 2, firstAddr); ok || reason != AddressLimitReached {
		t.Fatal(reason, ok)
	}
	admit(b, 3, secondAddr)
	b.Move(&list[3].Entry, BusyPartial, 3)
	if victim, reason, ok := admit(a, 4, secondAddr); ok || reason != LimitReached || victim != nil {
		t.Fatal(victim, reason, ok)
	}
	b.Move(&list[3].Entry, Idle, 4) // in the other table, which shares the limit
	if victim, _, ok := admit(a, 5, secondAddr); !ok || victim != &list[3].Entry || b.Len() != 0 || shared.Used() != 3 {
		t.Fatal(victim, ok)
	}
}

// After a limit was lowered, connections are evicted in batches, the idle ones first, and never those with open
// requests.
func TestLoweredLimit(t *testing.T) {
	shared := NewSharedLimit(100)
	tb := shared.NewTable(Limits{MaxConns: 100, PressureShare: 1})
	list := make([]fakeConn, 100)
	for i := range list {
		tb.Admit(&list[i].Entry, &list[i], netip.Addr{}, 0)
		tb.Move(&list[i].Entry, []Class{Idle, Persistent, Busy, Partial}[i%4], 0)
	}
	shared.SetMaxConns(10)
	calls := 0
	for tb.Expire(1, 16, nil, EvictOwner) {
		calls++
	}
	if tb.Len() != 25 || tb.Counts()[Busy] != 25 || calls != 4 {
		t.Fatal(tb.Len(), tb.Counts(), calls)
	}
	tb.Move(&list[2].Entry, Idle, 2) // its request was answered, so it may be evicted
	if tb.Expire(2, 16, nil, EvictOwner); tb.Len() != 24 || list[2].evictions != 1 {
		t.Fatal(tb.Len())
	}
}

// Compares the table with a model that is a plain slice: the counts, the limits, which connection is evicted for a new
// one and which expire. The eviction of a connection over a limit is deferred until the input that had arrived by then
// is read, and not for input that arrives later.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := NewSharedLimit(rapid.IntRange(1, 6).Draw(t, "room"))
		lim := limits
		lim.IdleTimeout = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "unused")
		lim.MaxPerAddr = rapid.IntRange(0, 3).Draw(t, "per address")
		tables := []*Table{shared.NewTable(lim), shared.NewTable(lim)}
		var live []*fakeConn
		now := time.Duration(0)
		drop := func(f *fakeConn) {
			for i, other := range live {
				if other == f {
					live = append(live[:i:i], live[i+1:]...)
					return
				}
			}
			t.Fatal("evicted a connection that is not in the table")
		}
		rank := func(f *fakeConn) int { // the order of eviction; 9: never
			age := now - f.enteredAt
			switch {
			case f.class >= BusyPartial || f.class == Persistent:
				return 9
			case f.class == Fresh && age < lim.FirstFrameGrace:
				return 2
			case f.class != Fresh && age < lim.IdleGrace:
				return 1
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				tb := tables[rapid.IntRange(0, 1).Draw(t, "table")]
				f := &fakeConn{peerAddr: netip.AddrFrom4([4]byte{127, 0, 0, byte(rapid.IntRange(1, 2).Draw(t, "from"))})}
				n, sameAddr := 0, 0
				for _, other := range live {
					if other.table == tb {
						if n++; other.peerAddr == f.peerAddr {
							sameAddr++
						}
					}
				}
				addressFull := lim.MaxPerAddr > 0 && sameAddr >= lim.MaxPerAddr
				full := n >= lim.MaxConns || len(live) >= shared.maxConns
				lowest := 9
				for _, other := range live {
					if other.table == tb || n < lim.MaxConns {
						lowest = min(lowest, rank(other))
					}
				}
				victim, _, ok := tb.Admit(&f.Entry, f, f.peerAddr, now)
				if ok == (addressFull || full && lowest == 9) || (victim != nil) != (ok && full) {
					t.Fatal("ok", ok, "victim", victim != nil, "address full", addressFull, "full", full, "lowest", lowest)
				}
				if victim != nil {
					other := victim.owner.(*fakeConn)
					if rank(other) != lowest {
						t.Fatal("a connection of a lower rank should have been evicted")
					}
					for _, another := range live {
						if (another.table == tb || n < lim.MaxConns) && rank(another) == lowest && another.enteredAt < other.enteredAt {
							t.Fatal("an older connection should have been evicted")
						}
					}
					drop(other)
				}
				if ok {
					live = append(live, f)
				}
			},
			"move": func(t *rapid.T) {
				if len(live) > 0 {
					f := live[rapid.IntRange(0, len(live)-1).Draw(t, "i")]
					f.overLimit = false
					f.table.Move(&f.Entry, Class(rapid.IntRange(0, int(classes)-1).Draw(t, "to")), now)
				}
			},
			"send": func(t *rapid.T) {
				if len(live) > 0 {
					f := live[rapid.IntRange(0, len(live)-1).Draw(t, "i")]
					f.sent++
				}
			},
			"read": func(t *rapid.T) {
				if len(live) > 0 {
					f := live[rapid.IntRange(0, len(live)-1).Draw(t, "i")]
					f.read = f.sent
				}
			},
			"remove": func(t *rapid.T) {
				if len(live) > 0 {
					f := live[rapid.IntRange(0, len(live)-1).Draw(t, "i")]
					f.table.Remove(&f.Entry)
					f.table.Remove(&f.Entry)
					drop(f)
				}
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				for _, tb := range tables {
					tb.Expire(now, 100, HasUnhandledInput, func(e *Entry, reason Reason) {
						f := e.owner.(*fakeConn)
						arrived := f.sent
						if f.overLimit {
							arrived = f.sentAtLimit
						}
						if f.read < arrived || now-e.enteredAt < lim.IdleGrace || e.class == Busy {
							t.Fatal("evicted too early:", reason)
						}
						drop(f)
					})
				}
				for _, f := range live {
					if f.reason != notDeferred && !f.overLimit {
						f.overLimit, f.sentAtLimit = true, f.sent
					}
					if (f.class == Fresh || f.class == Partial || f.class == BusyPartial) && now-f.enteredAt >= 2*time.Second &&
						(!f.overLimit || f.read >= f.sentAtLimit) {
						t.Fatal("over its limit and not evicted:", f.class)
					}
				}
			},
			"": func(t *rapid.T) {
				if shared.Used() != len(live) || tables[0].Len()+tables[1].Len() != len(live) || shared.Used() > shared.maxConns {
					t.Fatal(shared.Used(), tables[0].Len(), tables[1].Len(), len(live))
				}
				for _, tb := range tables {
					n := 0
					tb.Each(func(*Entry) { n++ })
					if len(tb.sources) > n || n != tb.Len() {
						t.Fatal("the table counts addresses without a connection, or its length is wrong")
					}
				}
			},
		})
	})
}

// The eviction of a connection over its limit is deferred for the input that had arrived by then, and not for input
// that it sends later; a connection that completes its frame is no longer over the limit. While the amount of input
// that has arrived cannot be determined, MarkArrived is called again.
func TestDeferredEviction(t *testing.T) {
	tb := NewSharedLimit(4).NewTable(limits)
	slow, progressing, unknown := &fakeConn{sent: 2, read: 1}, &fakeConn{sent: 2, read: 1}, &fakeConn{unknown: true}
	for _, f := range []*fakeConn{slow, progressing, unknown} {
		tb.Admit(&f.Entry, f, netip.Addr{}, 0)
		tb.Move(&f.Entry, Partial, 0)
	}
	expire := func(want ...*fakeConn) {
		t.Helper()
		tb.Expire(2*time.Second, 16, HasUnhandledInput, EvictOwner)
		for _, f := range []*fakeConn{slow, progressing, unknown} {
			evictions := 0
			if slices.Contains(want, f) {
				evictions = 1
			}
			if f.evictions != evictions {
				t.Fatal(f.evictions, "times evicted, not", evictions)
			}
			if evictions == 1 && f.evictReason != SlowFrame {
				t.Fatal(f.evictReason)
			}
		}
	}
	expire()
	if got := tb.chooseVictim(2 * time.Second); got != &slow.Entry || tb.Deferred() != 3 || tb.Counts()[Partial] != 3 {
		t.Fatal("a connection whose eviction was deferred is not the first victim:", tb.Deferred())
	}
	expire() // the input that had arrived is not read yet
	slow.sent, slow.read = 9, 2
	unknown.unknown, unknown.sent, unknown.read = false, 5, 4
	progressing.read = 2
	tb.Move(&progressing.Entry, Partial, 2*time.Second) // a frame was completed, and the next one has begun
	expire(slow)
	unknown.sent, unknown.read = 9, 5
	expire(slow, unknown)
	if tb.Deferred() != 0 || tb.Len() != 1 {
		t.Fatal(tb.Deferred(), tb.Len())
	}
}

// The size of an entry is part of the memory that every connection uses.
func TestSize(t *testing.T) {
	if n := unsafe.Sizeof(Entry{}); n > 64 {
		t.Fatalf("an entry takes %d bytes", n)
	}
}

// BenchmarkTable measures admitting a connection, and moving one to another class, in tables of two sizes.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 250_000} {
		tb := NewSharedLimit(n).NewTable(Limits{MaxConns: n, IdleGrace: 1, FirstFrameGrace: 1, PressureShare: 1})
		list := make([]fakeConn, n)
		for i := range list {
			tb.Admit(&list[i].Entry, &list[i], netip.Addr{}, time.Duration(i))
		}
		b.Run("admit/"+time.Duration(n).String(), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				tb.Admit(&list[i%n].Entry, &list[i%n], netip.Addr{}, time.Duration(n+i))
			}
		})
		b.Run("move/"+time.Duration(n).String(), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				tb.Move(&list[i%n].Entry, Class(i%int(classes)), time.Duration(n+i))
			}
		})
	}
}
