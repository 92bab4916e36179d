package policy

import (
	"errors"
	"strings"
	"testing"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "300") }

// Every default is valid, and every formatted value is parsed as the same value. Values that are out of range or of
// another kind are rejected.
func TestKeys(t *testing.T) {
	seen := map[string]bool{}
	for _, key := range Keys {
		value, err := key.Parse(key.Default)
		if err != nil || seen[key.Name] || key.Doc == "" {
			t.Errorf("%s: %v", key.Name, err)
		}
		if again, err := key.Parse(key.Format(value)); err != nil || again != value {
			t.Errorf("%s: %v is %v after formatting and parsing: %v", key.Name, value, again, err)
		}
		seen[key.Name] = true
	}
	for text, name := range map[string]string{
		"0": "attempts", "9": "attempts", "x": "attempts", "1.5": "attempts", "0s": "connect", "61s": "connect",
		"5":  "connect",
		"-1": "jitter", "1.001": "jitter", "NaN": "jitter", "sometimes": "spacing", "full,never": "retry_on", "": "rate",
	} {
		key, _ := KeyByName(name)
		if value, err := key.Parse(text); err == nil {
			t.Errorf("%s = %q was accepted as %v", name, text, value)
		}
	}
}

// destination returns a pointer to a destination's number.
func destination(n int64) *int64 { return &n }

// newSetting returns a line of a rule with a parsed value.
func newSetting(t testing.TB, line int, name, text string) Setting {
	key, ok := KeyByName(name)
	value, err := key.Parse(text)
	if !ok || err != nil {
		t.Fatal(name, err)
	}
	return Setting{name, line, value}
}

// Explain and Diff use the rule with the most fields for each key, and defaults where no rule matches.
func TestExplain(t *testing.T) {
	policy, err := New([]Rule{
		{Scope: Scope{}, Line: 1, Settings: []Setting{newSetting(t, 2, "attempts", "6"), newSetting(t, 3, "answer", "8s")}},
		{Scope: Scope{Class: "a"}, Line: 5, Settings: []Setting{newSetting(t, 6, "attempts", "5")}},
		{Scope: Scope{Destination: destination(1)}, Line: 8, Settings: []Setting{newSetting(t, 9, "attempts", "4")}},
		{Scope: Scope{Class: "a", Route: "r"}, Line: 11, Settings: []Setting{newSetting(t, 12, "wait", "50ms")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := policy.Explain(&out, Target{"a", 1, "r"}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"attempts 4 line 9 (dest 1)", "answer 8s line 3 (everything)",
		"wait 50ms line 12 (class a, route r)", "connect 1.5s default",
	} {
		if !strings.Contains(strings.Join(strings.Fields(out.String()), " "), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
	updated, err := New([]Rule{
		{Scope: Scope{Class: "a"}, Line: 1, Settings: []Setting{newSetting(t, 2, "attempts", "5")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	changes := Diff(policy, updated, []Target{{"a", 1, "r"}, {"a", 2, ""}})
	var keys []string
	for _, c := range changes {
		keys = append(keys, c.New.Key.Name)
	}
	if strings.Join(keys, " ") != "answer attempts wait answer" {
		t.Error(keys)
	}
}

// Two rules of the same scope, and a key set twice in a rule, are rejected with the line of the second one.
func TestNewRejectsDuplicates(t *testing.T) {
	for line, rules := range map[int][]Rule{
		7: {{Scope: Scope{Destination: destination(1)}, Line: 3}, {Scope: Scope{Destination: destination(1)}, Line: 7}},
		4: {{Line: 2, Settings: []Setting{newSetting(t, 3, "attempts", "1"), newSetting(t, 4, "attempts", "1")}}},
	} {
		_, err := New(rules)
		var ruleError *RuleError
		if !errors.As(err, &ruleError) || ruleError.Line != line {
			t.Error(line, err)
		}
	}
}

// For any rules in any order, the effective value comes from a rule that matches the target, and no other matching rule
// that sets the key has more fields in its scope.
func TestMostSpecificRuleApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		var rules []Rule
		for i := range rapid.IntRange(0, 12).Draw(t, "rules") {
			var scope Scope
			scope.Class = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "class")
			if number := rapid.Int64Range(0, 2).Draw(t, "dest"); number > 0 {
				scope.Destination = &number
			}
			scope.Route = rapid.SampledFrom([]string{"", "r", "s"}).Draw(t, "route")
			if seen[scope.String()] {
				continue
			}
			seen[scope.String()] = true
			rules = append(rules, Rule{
				Scope: scope, Line: 10 * i, Settings: []Setting{{"attempts", 10*i + 1, Value{Number: int64(1 + i%8)}}},
			})
		}
		policy, err := New(rules)
		if err != nil {
			t.Fatal(err)
		}
		target := Target{
			rapid.SampledFrom([]string{"a", "b"}).Draw(t, "of"), rapid.Int64Range(1, 2).Draw(t, "to"),
			rapid.SampledFrom([]string{"r", "s"}).Draw(t, "by"),
		}
		key, _ := KeyByName("attempts")
		effective := policy.Find(target, key)
		countFields := func(scope Scope) (count int) {
			for _, named := range []bool{scope.Class != "", scope.Destination != nil, scope.Route != ""} {
				if named {
					count++
				}
			}
			return count
		}
		for _, rule := range rules {
			if rule.covers(target) && (effective.Line == 0 || countFields(rule.Scope) > countFields(effective.Scope)) {
				t.Fatalf("the rule for %s applies, though %s has more fields", effective.Scope, rule.Scope)
			}
		}
		if effective.Line > 0 && !effective.Scope.covers(target) {
			t.Fatal("a rule that does not match the target applies")
		}
	})
}
