package lease

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/golden"
)

// readStrict decodes one JSON value and fails on fields that the type does not have.
func readStrict(t *testing.T, raw []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
}

// encode returns the values as JSON, one per line.
func encode[T any](t *testing.T, values ...T) []byte {
	t.Helper()
	var out bytes.Buffer
	for _, v := range values {
		if err := json.NewEncoder(&out).Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// requireAllFields fails for each field of a struct type that is zero in all places where the type
// occurs in v.
func requireAllFields(t *testing.T, v any) {
	t.Helper()
	set := map[string]bool{}
	collectFields(reflect.ValueOf(v), set)
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if !set[name] {
			t.Errorf("no golden value sets %s", name)
		}
	}
}

// collectFields records for each field of each struct type in v whether it is set anywhere.
func collectFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			collectFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			collectFields(v.Index(i), set)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			collectFields(v.MapIndex(k), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.IsExported() {
				key := v.Type().String() + "." + f.Name
				set[key] = set[key] || !v.Field(i).IsZero()
				collectFields(v.Field(i), set)
			}
		}
	}
}

// goldenEntries uses every operation and sets every field.
func goldenEntries() []Entry {
	return []Entry{
		{Op: RecordIncarnation, Member: "a", Incarnation: 3, Recipient: "10.0.0.1:7000", Base: 11},
		{Op: RecordIncarnation, Member: "b", Incarnation: 1, Recipient: "10.0.0.2:7000", Base: 12},
		{Op: AdmitEmptyLog, Member: "b", Incarnation: 2, Recipient: "10.0.0.3:7000", Base: 13},
		{Op: RaiseEpoch, Base: 40},
		{Op: Prefer, Name: "report", Recipient: "b"},
		{Op: Grant, Name: "report", Member: "a", Incarnation: 3},
		{Op: Renew, Member: "a", Incarnation: 3, Refs: []Ref{{Name: "report", Epoch: 41}}},
		{Op: Revoke, Refs: []Ref{{Name: "report", Epoch: 41}}},
		{Op: Grant, Name: "roll#1", Member: "b", Incarnation: 2, HoldUs: 90_000_000},
		{Op: AssignQuota, Name: "calls", Member: "a", Incarnation: 3, Amount: 700, Limit: 1000},
		{Op: AssignQuota, Name: "calls", Member: "b", Incarnation: 2, Amount: 700, Limit: 1000},
		{Op: Grant, Name: "sweep", Member: "b", Incarnation: 2},
		{Op: Release, Member: "b", Incarnation: 2, Recipient: "a", Refs: []Ref{{Name: "sweep", Epoch: 45}}},
		{Op: Grant, Name: "clean", Member: "a", Incarnation: 3},
		{Op: Expire, Refs: []Ref{{Name: "clean", Epoch: 46, Renewal: 1}}},
		// Rejected: a stale reference that sets every field, and an unknown operation.
		{Op: Renew, Member: "a", Incarnation: 3, Refs: []Ref{{Name: "clean", Epoch: 46, Renewal: 1, Amount: 5}}},
		{
			Op: "later", Name: "n", Member: "a", Incarnation: 3, Recipient: "b", Refs: []Ref{{Name: "n", Epoch: 1}},
			Base: 1, Amount: 2, Limit: 3, HoldUs: 4,
		},
	}
}

// goldenTable returns the table after applying goldenEntries.
func goldenTable() *Table {
	return &Table{
		Epoch: 46,
		Leases: map[string]*Lease{
			"report":  {Holder: "a", Incarnation: 3, Epoch: 41, Renewal: 2, Preferred: "b", Revoked: true},
			"roll#1":  {Holder: "b", Incarnation: 2, Epoch: 42, Renewal: 1, HoldUs: 90_000_000},
			"calls/a": {Holder: "a", Incarnation: 3, Epoch: 43, Renewal: 1, Amount: 700},
			"calls/b": {Holder: "b", Incarnation: 2, Epoch: 44, Renewal: 1, Amount: 300},
			"sweep":   {Epoch: 45, Renewal: 1, Preferred: "a"},
			"clean":   {Epoch: 46, Renewal: 1},
		},
		Incarnations: map[string]uint64{"a": 3, "b": 2},
		Addresses:    map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.3:7000"},
		ReadMarks:    map[string]ReadMark{"a": {Incarnation: 3, Entry: 11}, "b": {Incarnation: 2, Entry: 13}},
	}
}

func TestGoldenTable(t *testing.T) {
	want := goldenTable()
	requireAllFields(t, want)
	raw := encode(t, want)
	golden.Check(t, "table.json", string(raw))
	got := NewTable()
	readStrict(t, raw, got)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read back: %+v", got)
	}
	if again := encode(t, got); !bytes.Equal(again, raw) {
		t.Errorf("written again: %s", again)
	}
}

func TestGoldenLease(t *testing.T) {
	want := Lease{
		Holder: "a", Incarnation: 3, Epoch: 41, Renewal: 2, Preferred: "b", Revoked: true, Amount: 700,
		HoldUs: 90_000_000,
	}
	requireAllFields(t, want)
	raw := encode(t, want, Lease{})
	golden.Check(t, "lease.json", string(raw))
	var got Lease
	readStrict(t, raw, &got)
	if got != want {
		t.Errorf("read back: %+v", got)
	}
}

func TestGoldenEntries(t *testing.T) {
	want := goldenEntries()
	requireAllFields(t, want)
	golden.Check(t, "entries.jsonl", string(encode(t, want...)))
	for _, op := range []Op{
		Grant, Renew, Release, Expire, Revoke, Prefer, AssignQuota, RecordIncarnation,
		AdmitEmptyLog, RaiseEpoch,
	} {
		if !slices.ContainsFunc(want, func(entry Entry) bool { return entry.Op == op }) {
			t.Errorf("no golden entry for %s", op)
		}
	}
}

// TestGoldenReplay reads the stored entries and applies them: the results and the table must equal the
// golden ones.
func TestGoldenReplay(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", "entries.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	table, want := NewTable(), goldenEntries()
	var results []Result
	for i, line := range strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n") {
		var entry Entry
		readStrict(t, []byte(line), &entry)
		if !reflect.DeepEqual(entry, want[i]) {
			t.Errorf("entry %d read back: %+v", i, entry)
		}
		if again := encode(t, entry); string(again) != line+"\n" {
			t.Errorf("entry %d written again: %s", i, again)
		}
		results = append(results, table.Apply(entry))
	}
	if len(results) != len(want) || !reflect.DeepEqual(table, goldenTable()) {
		t.Errorf("the table after %d entries is %s", len(results), encode(t, table))
	}
	requireAllFields(t, results)
	encoded := encode(t, results...)
	golden.Check(t, "results.jsonl", string(encoded))
	for i, line := range strings.Split(strings.TrimSuffix(string(encoded), "\n"), "\n") {
		var result Result
		readStrict(t, []byte(line), &result)
		if !reflect.DeepEqual(result, results[i]) {
			t.Errorf("result %d read back: %+v", i, result)
		}
	}
}

// TestGoldenBehaviour hashes the outputs of seeded sequences of inputs.
func TestGoldenBehaviour(t *testing.T) {
	var out bytes.Buffer
	for seed := range int64(8) {
		golden.Fingerprint(&out, fmt.Sprintf("table-%d", seed), 3000, tableScenario(seed))
		golden.Fingerprint(&out, fmt.Sprintf("holder-%d", seed), 3000, holderScenario(seed))
	}
	golden.Fingerprint(&out, "bounds", 2*MaxLeases+2*MaxMembers, boundsScenario())
	golden.Check(t, "behaviour.txt", out.String())
}

// asJSON returns a value as the log stores it.
func asJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// tableScenario applies random entries, most of them applicable, and returns the state of the table
// and of an ExpiryWatch that observes it.
func tableScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	table, watch := NewTable(), NewExpiryWatch(Terms{Length: time.Second, Drift: 0.01})
	now := time.Duration(0)
	return func(i int) string {
		now += time.Duration(rng.Intn(200)) * time.Millisecond
		var entry Entry
		if due, _ := watch.Expired(now); len(due) > 0 && rng.Intn(3) == 0 {
			entry = Entry{Op: Expire, Refs: due}
		} else {
			entry = randomEntry(rng, table)
		}
		result := table.Apply(entry)
		watch.Observe(table, now)
		due, next := watch.Expired(now)
		remaining := watch.Remaining("d1", now)
		clone := table.Clone()
		if i%500 == 499 { // a restart reads the snapshot back
			table = NewTable()
			if err := json.Unmarshal([]byte(asJSON(clone)), table); err != nil {
				panic(err)
			}
		}
		return fmt.Sprint(asJSON(entry), asJSON(result), asJSON(clone), asJSON(due), int64(next), int64(remaining),
			asJSON(table.HeldBy("m1", table.Incarnations["m1"])), table.QuotaSum("limit", QuotaName("limit", "m0")))
	}
}

// randomEntry draws an entry whose references match the table more often than not.
func randomEntry(rng *rand.Rand, table *Table) Entry {
	ops := []Op{
		Grant, Grant, Renew, Renew, Release, Expire, Revoke, Prefer, AssignQuota, AssignQuota,
		RecordIncarnation, AdmitEmptyLog, RaiseEpoch, "none",
	}
	entry := Entry{
		Op: ops[rng.Intn(len(ops))], Name: fmt.Sprintf("d%d", rng.Intn(5)), Member: fmt.Sprintf("m%d", rng.Intn(4)),
	}
	entry.Incarnation = max(1, table.Incarnations[entry.Member]+uint64(rng.Intn(12)/10)) - uint64(rng.Intn(12)/11)
	if rng.Intn(4) == 0 {
		entry.Recipient = fmt.Sprintf("m%d", rng.Intn(4))
	}
	switch entry.Op {
	case AssignQuota:
		entry.Name, entry.Amount, entry.Limit = "limit", int64(rng.Intn(900)-50), int64(500+rng.Intn(800))
	case Grant:
		entry.HoldUs = int64(max(0, rng.Intn(20)-16)) * 1_000_000
	case RaiseEpoch:
		entry.Base = table.Epoch + uint64(rng.Intn(3)) - 1
	case RecordIncarnation, AdmitEmptyLog:
		entry.Base = uint64(rng.Intn(1000))
	}
	if rng.Intn(50) == 0 {
		entry.Name += "/x"
	}
	for _, name := range slices.Sorted(maps.Keys(table.Leases)) {
		if lease := table.Leases[name]; rng.Intn(3) == 0 {
			entry.Refs = append(entry.Refs,
				Ref{name, lease.Epoch - uint64(rng.Intn(8)/7), lease.Renewal - uint64(rng.Intn(4)/3), 0})
			if rng.Intn(4) != 0 {
				entry.Member, entry.Incarnation = lease.Holder, lease.Incarnation+uint64(rng.Intn(6)/5)
			}
		}
	}
	return entry
}

// holderScenario applies grants, losses and expiry to a Holder in random order.
func holderScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	holder := NewHolder(Terms{Length: time.Duration(1000+rng.Intn(1000)) * time.Millisecond, Drift: rng.Float64() * 0.4})
	now, epoch := time.Duration(0), 1
	return func(int) string {
		now += time.Duration(rng.Intn(150)) * time.Millisecond
		name, requested := fmt.Sprintf("d%d", rng.Intn(3)), now-time.Duration(rng.Intn(300))*time.Millisecond
		epoch += rng.Intn(5) / 4
		leaseEpoch := uint64(max(1, epoch-rng.Intn(3)))
		var expired []Ref
		switch rng.Intn(6) {
		case 0, 1:
			holder.RecordGrant(name, leaseEpoch, requested)
		case 2:
			holder.RecordQuotaGrant(name, leaseEpoch, int64(rng.Intn(100)), requested)
		case 3:
			holder.LowerQuota(name, int64(rng.Intn(100)))
		case 4:
			holder.Drop(name, leaseEpoch)
		case 5:
			expired = holder.Expire(now)
			slices.SortFunc(expired, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) })
		}
		got, held := holder.Get(name, now)
		executionEpoch, ok := holder.MayExecute(name, now, time.Duration(rng.Intn(1200))*time.Millisecond)
		return fmt.Sprint(asJSON(expired), got.Epoch, int64(got.ExpiresAt), got.Amount, held, executionEpoch, ok,
			asJSON(holder.Refs()))
	}
}

// boundsScenario adds leases and members to a table beyond its bounds.
func boundsScenario() func(int) string {
	table := NewTable()
	return func(i int) string {
		entry := Entry{Op: Prefer, Name: fmt.Sprintf("d%d", i), Recipient: "m"}
		switch {
		case i >= 2*MaxLeases:
			entry = Entry{
				Op: RecordIncarnation, Member: fmt.Sprintf("m%d", i), Incarnation: uint64(i),
				Recipient: strings.Repeat("x", i%200),
			}
		case i%100 == 99:
			entry = Entry{
				Op: AssignQuota, Name: strings.Repeat("n", i%140), Member: strings.Repeat("m", i%150),
				Incarnation: 1, Amount: 1, Limit: 9,
			}
		case i%10 == 9:
			entry = Entry{Op: Grant, Name: fmt.Sprintf("d%d", i), Member: strings.Repeat("m", i%150), Incarnation: 1}
		}
		return fmt.Sprint(asJSON(table.Apply(entry)), len(table.Leases), len(table.Incarnations), len(table.Addresses))
	}
}
