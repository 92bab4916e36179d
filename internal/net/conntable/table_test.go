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

// fake is a connection that only writes down how it went.
type fake struct {
	Entry
	from    netip.Addr
	gone    int
	reason  Reason
	sent    int64 // bytes that have arrived
	read    int64 // of them, those that were handled
	mark    int64
	unsure  bool  // what has arrived can't be told
	atLimit int64 // what had arrived when it was found over a limit; of the model
	isOver  bool  // it was found over a limit; of the model
}

func (f *fake) Evict(why Reason)  { f.gone, f.reason = f.gone+1, why }
func (f *fake) MarkArrived() bool { f.mark = f.sent; return !f.unsure }
func (f *fake) MarkHandled() bool { return f.read >= f.mark }

var limits = Limits{
	Most: 3, Keep: 0.75, Patience: 2 * time.Second, Grace: 100 * time.Millisecond, First: 2 * time.Second,
	Whole: 2 * time.Second,
}

// Newcomers of one moment took each other's places before their first commands were read.
func TestNewcomersSpareEachOther(t *testing.T) {
	tb := NewRoom(4).NewTable(Limits{Most: 4, Patience: limits.Patience, Grace: limits.Grace})
	list := make([]fake, 6)
	at := func(i int, d time.Duration) *Entry {
		e := &list[i].Entry
		if v, _, ok := tb.Admit(e, &list[i], netip.Addr{}, d); v != nil || !ok {
			t.Fatal("no room", i)
		}
		return e
	}
	silent, asked := at(0, 0), at(1, 0)
	tb.Move(asked, Idle, time.Second)
	fresh, newer := at(2, time.Second), at(3, time.Second)
	for i, want := range []*Entry{silent, asked, fresh, newer} {
		if got := tb.chooseVictim(time.Second + 50*time.Millisecond); got != want {
			t.Fatal("another one would go, in turn", i)
		}
		tb.Remove(want)
	}
}

// What is open, or promised to stay, is never evicted for a newcomer; a newcomer's rejection has a reason.
func TestTurnedAway(t *testing.T) {
	room := NewRoom(3)
	lim := limits
	lim.PerAddr = 2
	a, b := room.NewTable(lim), room.NewTable(lim)
	one, two := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	list := make([]fake, 9)
	admit := func(tb *Table, i int, from netip.Addr) (*Entry, Reason, bool) {
		return tb.Admit(&list[i].Entry, &list[i], from, time.Duration(i))
	}
	for i, c := range []Class{Busy, Held} {
		admit(a, i, one)
		a.Move(&list[i].Entry, c, time.Duration(i))
	}
	if _, why, ok := admit(a, 2, one); ok || why != Crowd {
		t.Fatal(why, ok)
	}
	admit(b, 3, two)
	b.Move(&list[3].Entry, Stuck, 3)
	if v, why, ok := admit(a, 4, two); ok || why != Full || v != nil {
		t.Fatal(v, why, ok)
	}
	b.Move(&list[3].Entry, Idle, 4) // of the other table, but of the same room
	if v, _, ok := admit(a, 5, two); !ok || v != &list[3].Entry || b.Len() != 0 || room.Used() != 3 {
		t.Fatal(v, ok)
	}
}

// A lowered bound is reached from the idle on, in portions, and never ends what is open.
func TestLowered(t *testing.T) {
	room := NewRoom(100)
	tb := room.NewTable(Limits{Most: 100, Keep: 1})
	list := make([]fake, 100)
	for i := range list {
		tb.Admit(&list[i].Entry, &list[i], netip.Addr{}, 0)
		tb.Move(&list[i].Entry, []Class{Idle, Held, Busy, Partial}[i%4], 0)
	}
	room.SetMost(10)
	rounds := 0
	for tb.Expire(1, 16, nil, End) {
		rounds++
	}
	if tb.Len() != 25 || tb.Counts()[Busy] != 25 || rounds != 4 {
		t.Fatal(tb.Len(), tb.Counts(), rounds)
	}
	tb.Move(&list[2].Entry, Idle, 2) // answered: now it goes
	if tb.Expire(2, 16, nil, End); tb.Len() != 24 || list[2].gone != 1 {
		t.Fatal(tb.Len())
	}
}

// Against a plain slice: the counts, the room, who goes for a newcomer and who expires. Who is over a limit is spared
// until what had arrived by then is read, and no longer for what comes later.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := NewRoom(rapid.IntRange(1, 6).Draw(t, "room"))
		lim := limits
		lim.Unused = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "unused")
		lim.PerAddr = rapid.IntRange(0, 3).Draw(t, "per address")
		tables := []*Table{room.NewTable(lim), room.NewTable(lim)}
		var live []*fake
		now := time.Duration(0)
		drop := func(f *fake) {
			for i, o := range live {
				if o == f {
					live = append(live[:i:i], live[i+1:]...)
					return
				}
			}
			t.Fatal("ended, and not there")
		}
		kind := func(f *fake) int { // in the order in which they give way
			age := now - f.since
			switch {
			case f.class >= Stuck || f.class == Held:
				return 9
			case f.class == Fresh && age < lim.Grace:
				return 2
			case f.class != Fresh && age < lim.Patience:
				return 1
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				tb := tables[rapid.IntRange(0, 1).Draw(t, "table")]
				f := &fake{from: netip.AddrFrom4([4]byte{127, 0, 0, byte(rapid.IntRange(1, 2).Draw(t, "from"))})}
				n, same := 0, 0
				for _, o := range live {
					if o.table == tb {
						if n++; o.from == f.from {
							same++
						}
					}
				}
				crowd := lim.PerAddr > 0 && same >= lim.PerAddr
				full := n >= lim.Most || len(live) >= room.most
				best := 9
				for _, o := range live {
					if o.table == tb || n < lim.Most {
						best = min(best, kind(o))
					}
				}
				v, _, ok := tb.Admit(&f.Entry, f, f.from, now)
				if ok == (crowd || full && best == 9) || (v != nil) != (ok && full) {
					t.Fatal("ok", ok, "victim", v != nil, "crowd", crowd, "full", full, "best", best)
				}
				if v != nil {
					o := v.owner.(*fake)
					if kind(o) != best {
						t.Fatal("another should have gone")
					}
					for _, p := range live {
						if (p.table == tb || n < lim.Most) && kind(p) == best && p.since < o.since {
							t.Fatal("an older one should have gone")
						}
					}
					drop(o)
				}
				if ok {
					live = append(live, f)
				}
			},
			"move": func(t *rapid.T) {
				if len(live) > 0 {
					f := live[rapid.IntRange(0, len(live)-1).Draw(t, "i")]
					f.isOver = false
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
					tb.Expire(now, 100, Unread, func(e *Entry, why Reason) {
						f := e.owner.(*fake)
						arrived := f.sent
						if f.isOver {
							arrived = f.atLimit
						}
						if f.read < arrived || now-e.since < lim.Patience || e.class == Busy {
							t.Fatal("ended too early:", why)
						}
						drop(f)
					})
				}
				for _, f := range live {
					if f.why != notSpared && !f.isOver {
						f.isOver, f.atLimit = true, f.sent
					}
					if (f.class == Fresh || f.class == Partial || f.class == Stuck) && now-f.since >= 2*time.Second &&
						(!f.isOver || f.read >= f.atLimit) {
						t.Fatal("forgotten", f.class)
					}
				}
			},
			"": func(t *rapid.T) {
				if room.Used() != len(live) || tables[0].Len()+tables[1].Len() != len(live) || room.Used() > room.most {
					t.Fatal(room.Used(), tables[0].Len(), tables[1].Len(), len(live))
				}
				for _, tb := range tables {
					n := 0
					tb.Each(func(*Entry) { n++ })
					if len(tb.origins) > n || n != tb.Len() {
						t.Fatal("addresses are kept of nobody")
					}
				}
			},
		})
	})
}

// A connection that is over its limit is given time for what had arrived by then, and none for what it sends later; one
// that makes progress is over no limit. Where it cannot be told what has arrived, it is asked again.
func TestSparedForWhatHadArrived(t *testing.T) {
	tb := NewRoom(4).NewTable(limits)
	slow, late, unsure := &fake{sent: 2, read: 1}, &fake{sent: 2, read: 1}, &fake{unsure: true}
	for _, f := range []*fake{slow, late, unsure} {
		tb.Admit(&f.Entry, f, netip.Addr{}, 0)
		tb.Move(&f.Entry, Partial, 0)
	}
	expire := func(want ...*fake) {
		t.Helper()
		tb.Expire(2*time.Second, 16, Unread, End)
		for _, f := range []*fake{slow, late, unsure} {
			gone := 0
			if slices.Contains(want, f) {
				gone = 1
			}
			if f.gone != gone {
				t.Fatal(f.gone, "times evicted, not", gone)
			}
			if gone == 1 && f.reason != Slow {
				t.Fatal(f.reason)
			}
		}
	}
	expire()
	if got := tb.chooseVictim(2 * time.Second); got != &slow.Entry || tb.Spared() != 3 || tb.Counts()[Partial] != 3 {
		t.Fatal("a spared one is to go first", tb.Spared())
	}
	expire() // what had arrived is not read yet
	slow.sent, slow.read = 9, 2
	unsure.unsure, unsure.sent, unsure.read = false, 5, 4
	late.read = 2
	tb.Move(&late.Entry, Partial, 2*time.Second) // it was the end of a frame, and the next one has begun
	expire(slow)
	unsure.sent, unsure.read = 9, 5
	expire(slow, unsure)
	if tb.Spared() != 0 || tb.Len() != 1 {
		t.Fatal(tb.Spared(), tb.Len())
	}
}

// An entry's bytes are a part of what every connection costs.
func TestSize(t *testing.T) {
	if n := unsafe.Sizeof(Entry{}); n > 64 {
		t.Fatalf("an entry takes %d bytes", n)
	}
}

// A newcomer that takes the place of another, and one that changes its class, among many.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 250_000} {
		tb := NewRoom(n).NewTable(Limits{Most: n, Patience: 1, Grace: 1, Keep: 1})
		list := make([]fake, n)
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
