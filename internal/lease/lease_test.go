package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/testkit"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "300") }

// drawEntry draws an entry of any operation, most of them not applicable.
func drawEntry(t *rapid.T, names, members []string) Entry {
	op := rapid.SampledFrom([]Op{
		Grant, Grant, Renew, Release, Expire, Revoke, Prefer, AssignQuota, AssignQuota, RecordIncarnation, AdmitEmptyLog,
		RaiseEpoch, "nonsense",
	}).Draw(t, "op")
	entry := Entry{
		Op: op, Name: rapid.SampledFrom(names).Draw(t, "name"), Member: rapid.SampledFrom(members).Draw(t, "member"),
		Incarnation: rapid.Uint64Range(0, 4).Draw(t, "incarnation"),
		Recipient:   rapid.SampledFrom(append(members, "")).Draw(t, "to"),
		Base:        rapid.Uint64Range(0, 40).Draw(t, "base"),
		Amount:      rapid.Int64Range(-5, 90).Draw(t, "amount"), Limit: 60,
	}
	for range rapid.IntRange(0, 3).Draw(t, "refs") {
		entry.Refs = append(entry.Refs, Ref{
			rapid.SampledFrom(names).Draw(t, "ref"),
			rapid.Uint64Range(0, 30).Draw(t, "epoch"), rapid.Uint64Range(0, 20).Draw(t, "renewal"), 0,
		})
	}
	return entry
}

// Invariants of a table under arbitrary entries: epochs never decrease, and each grant has a higher one
// than all grants before it, over all leases; a lease must be free before it passes to another holder;
// a lease is never granted to an incarnation lower than one already recorded; quotas stay within their
// limit; and two tables that apply the same log are equal, also if one of them is restored from a
// snapshot on the way.
func TestTableWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names, members := []string{"x", "y", "y/a"}, []string{"a", "b", "c"}
		table, replica := NewTable(), NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			before := table.Clone()
			entry := drawEntry(t, names, members)
			table.Apply(entry)
			replica.Apply(entry)
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				raw, err := json.Marshal(replica)
				if err != nil {
					t.Fatal(err)
				}
				if replica = NewTable(); json.Unmarshal(raw, replica) != nil {
					t.Fatal("the snapshot was not read back")
				}
			}
			for _, name := range names {
				if table.QuotaSum(name, "") > 60 {
					t.Fatalf("%+v: the quotas of %s exceed the limit", entry, name)
				}
			}
			if table.Epoch < before.Epoch {
				t.Fatalf("%+v: the highest epoch decreased", entry)
			}
			for name, lease := range table.Leases {
				old := before.Leases[name]
				if old == nil {
					continue
				}
				if lease.Epoch < old.Epoch || lease.Renewal < old.Renewal {
					t.Fatalf("%+v: the epoch or renewal of %s decreased", entry, name)
				}
				if lease.Holder != "" && lease.Epoch != old.Epoch &&
					(old.Holder != "" || lease.Epoch <= before.Epoch || lease.Incarnation < before.Incarnations[lease.Holder]) {
					t.Fatalf("%+v: invalid change of %s from %+v to %+v", entry, name, old, lease)
				}
			}
		}
		if want, got := fmt.Sprint(dump(table)), fmt.Sprint(dump(replica)); want != got {
			t.Fatalf("tables differ:\n%s\n%s", want, got)
		}
	})
}

func dump(table *Table) (lines []string) {
	for name, lease := range table.Leases {
		lines = append(lines, fmt.Sprintf("%s %+v", name, *lease))
	}
	slices.Sort(lines)
	return append(lines, fmt.Sprint(table.Epoch, table.Incarnations))
}

// register is the sequential specification of one lease as its callers see it: a holder with an epoch,
// or no holder.
var register = porcupine.Model{
	Init: func() any { return Lease{} },
	Step: func(state, in, out any) (bool, any) {
		lease, entry, result := state.(Lease), in.(Entry), out.(Result)
		switch entry.Op {
		case Grant:
			if lease.Holder != "" {
				return len(result.Refs) == 0, lease
			}
			return len(result.Refs) == 1 && result.Refs[0].Epoch > lease.Epoch,
				Lease{Holder: entry.Member, Epoch: epochOf(result)}
		case Renew:
			held := lease.Holder == entry.Member && lease.Epoch == entry.Refs[0].Epoch
			return held == (len(result.Refs) == 1), lease
		default:
			if lease.Holder == entry.Member && lease.Epoch == entry.Refs[0].Epoch {
				return len(result.Refs) == 1, Lease{Epoch: lease.Epoch}
			}
			return len(result.Refs) == 0, lease
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func epochOf(result Result) uint64 {
	if len(result.Refs) == 0 {
		return 0
	}
	return result.Refs[0].Epoch
}

// Grants, renewals and releases must be linearizable: porcupine must find an order for a history of
// overlapping calls answered by the table, and none if two grants follow without a release.
func TestGrantsAsARegister(t *testing.T) {
	history := func(t *rapid.T, table *Table) (ops []porcupine.Operation) {
		epochs := map[string]uint64{}
		clock := int64(0)
		for range rapid.IntRange(3, 25).Draw(t, "calls") {
			member := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who")
			entry := Entry{Op: Grant, Name: "d", Member: member, Incarnation: 1}
			if epoch, ok := epochs[member]; ok {
				entry = Entry{
					Op: rapid.SampledFrom([]Op{Renew, Release}).Draw(t, "op"), Name: "d", Member: member, Incarnation: 1,
					Refs: []Ref{{Name: "d", Epoch: epoch}},
				}
			}
			result := table.Apply(entry)
			if delete(epochs, member); len(result.Refs) > 0 && entry.Op != Release {
				epochs[member] = result.Refs[0].Epoch
			}
			clock += 10
			ops = append(ops, porcupine.Operation{
				ClientId: int(member[0]), Input: entry, Output: result,
				Call: clock - rapid.Int64Range(1, 9).Draw(t, "requested"), Return: clock + rapid.Int64Range(0, 9).Draw(t, "heard"),
			})
		}
		return ops
	}
	rapid.Check(t, func(t *rapid.T) {
		ops := history(t, NewTable())
		if !porcupine.CheckOperations(register, ops) {
			t.Fatalf("the history is not linearizable: %+v", ops)
		}
		clock := ops[len(ops)-1].Return + 10
		for i := range 2 { // granted twice, without a release between
			ops = append(ops, porcupine.Operation{
				ClientId: 90 + i, Input: Entry{Op: Grant, Name: "d", Member: fmt.Sprint("z", i), Incarnation: 1},
				Output: Result{Refs: []Ref{{"d", 1000 + uint64(i), 1, 0}}}, Call: clock + int64(10*i),
				Return: clock + int64(10*i) + 5,
			})
		}
		if porcupine.CheckOperations(register, ops) {
			t.Fatal("two holders at the same time were accepted as linearizable")
		}
	})
}

// An execution may begin only if it ends before the lease expires, which is counted from before the
// request; a late reply of an older epoch or to an older request changes nothing.
func TestHolder(t *testing.T) {
	holder := NewHolder(Terms{Length: time.Second, Drift: 0.01})
	holder.RecordGrant("d", 7, 100*time.Millisecond)
	for _, c := range []struct {
		now time.Duration
		ok  bool
	}{{200, true}, {789, true}, {790, false}, {2000, false}} {
		if epoch, ok := holder.MayExecute("d", c.now*time.Millisecond, 300*time.Millisecond); ok != c.ok || epoch != 7 {
			t.Errorf("at %d ms: may execute %v, epoch %d", c.now, ok, epoch)
		}
	}
	holder.RecordGrant("d", 6, time.Hour)
	holder.RecordGrant("d", 7, 0)
	if holding, ok := holder.Get("d", 1089*time.Millisecond); !ok || holding.ExpiresAt != 1090*time.Millisecond {
		t.Errorf("held: %+v", holding)
	}
	holder.Drop("d", 6)
	if expired := holder.Expire(1090 * time.Millisecond); len(expired) != 1 || expired[0].Epoch != 7 ||
		len(holder.Refs()) != 0 {
		t.Errorf("expired: %+v", expired)
	}
}

// A table is bounded: neither long names nor many of them may exhaust a member's memory.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * MaxLeases {
		table.Apply(Entry{Op: Grant, Name: fmt.Sprint(i), Member: "m", Incarnation: 1})
		table.Apply(Entry{Op: RecordIncarnation, Member: fmt.Sprint(i), Incarnation: 1})
	}
	if result := table.Apply(Entry{
		Op: Grant, Name: strings.Repeat("x", MaxNameLen+1), Member: "m",
		Incarnation: 1,
	}); len(table.Leases) != MaxLeases || len(table.Incarnations) != MaxMembers || result.Reason == "" {
		t.Errorf("%d leases, %d members, %q", len(table.Leases), len(table.Incarnations), result.Reason)
	}
	if names := slices.Collect(maps.Keys(table.Clone().Leases)); len(names) != MaxLeases {
		t.Error(len(names))
	}
}
