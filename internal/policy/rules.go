package policy

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Scope selects the targets of a rule. An empty field matches any value; the empty scope matches every target.
type Scope struct {
	Class       string
	Destination *int64
	Route       string
}

// String returns the scope as text. New compares scopes by it.
func (s Scope) String() string {
	var parts []string
	if s.Class != "" {
		parts = append(parts, "class "+s.Class)
	}
	if s.Destination != nil {
		parts = append(parts, fmt.Sprint("dest ", *s.Destination))
	}
	if s.Route != "" {
		parts = append(parts, "route "+s.Route)
	}
	if len(parts) == 0 {
		return "everything"
	}
	return strings.Join(parts, ", ")
}

// The components of a rank. The number of fields outweighs which fields they are.
const (
	rankField       = 8
	rankClass       = 1
	rankDestination = 2
	rankRoute       = 4
)

// rank returns the precedence of a scope. A scope with more fields precedes one with fewer. Among scopes with the same
// number of fields, a route weighs most, then a destination, then a class.
func (s Scope) rank() int {
	rank := 0
	if s.Class != "" {
		rank += rankField + rankClass
	}
	if s.Destination != nil {
		rank += rankField + rankDestination
	}
	if s.Route != "" {
		rank += rankField + rankRoute
	}
	return rank
}

// covers reports whether the scope matches a target.
func (s Scope) covers(target Target) bool {
	return (s.Class == "" || s.Class == target.Class) && (s.Destination == nil || *s.Destination == target.Destination) &&
		(s.Route == "" || s.Route == target.Route)
}

// Target is the class, destination and route of a message. An empty route stands for any route without rules of its
// own.
type Target struct {
	Class       string
	Destination int64
	Route       string
}

// Rule is one block of settings in the file, for the targets of its scope.
type Rule struct {
	Scope
	Line     int // the first line of the block
	Settings []Setting
}

// Setting is one line of a rule: a key and its value.
type Setting struct {
	Key   string
	Line  int
	Value Value
}

// RuleError is an error in a rule, at a line of the file.
type RuleError struct {
	Line int
	Key  string // empty if the error concerns the whole block
	Err  error
}

// Error returns the line, the key and the cause as text.
func (e *RuleError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// Policy is a set of rules. It is immutable and safe for concurrent use.
type Policy struct {
	rules []Rule // by descending rank
}

// New returns a policy of the given rules. It rejects two rules of the same scope, and a key that a rule sets twice, as
// neither of the two would have precedence.
func New(rules []Rule) (*Policy, error) {
	for i, rule := range rules {
		for _, earlier := range rules[:i] {
			if earlier.String() == rule.String() {
				return nil, &RuleError{
					Line: rule.Line, Err: fmt.Errorf("%s already has a rule at line %d", rule.Scope, earlier.Line),
				}
			}
		}
		for j, setting := range rule.Settings {
			if slices.ContainsFunc(rule.Settings[:j], func(earlier Setting) bool { return earlier.Key == setting.Key }) {
				return nil, &RuleError{setting.Line, setting.Key, errors.New("is set twice")}
			}
		}
	}
	p := &Policy{rules: slices.Clone(rules)}
	slices.SortStableFunc(p.rules, func(a, b Rule) int { return cmp.Compare(b.rank(), a.rank()) })
	return p, nil
}

// EffectiveValue is the value that applies to a key for a target, and the scope and the line that set it.
type EffectiveValue struct {
	Key   Key
	Value Value
	Scope Scope
	Line  int // 0 for a default
}

// Find returns the value of a key for a target: that of the matching rule with the highest rank, or the default.
func (p *Policy) Find(target Target, key Key) EffectiveValue {
	for _, rule := range p.rules {
		if !rule.covers(target) {
			continue
		}
		for _, setting := range rule.Settings {
			if setting.Key == key.Name {
				return EffectiveValue{key, setting.Value, rule.Scope, setting.Line}
			}
		}
	}
	value, err := key.Parse(key.Default)
	if err != nil {
		panic(fmt.Sprintf("policy: the default of %s: %v", key.Name, err)) // a mistake in Keys
	}
	return EffectiveValue{Key: key, Value: value}
}

// EffectiveValues returns the values that apply to a target, one for each key.
func (p *Policy) EffectiveValues(target Target) []EffectiveValue {
	values := make([]EffectiveValue, len(Keys))
	for i, key := range Keys {
		values[i] = p.Find(target, key)
	}
	return values
}

// Explain writes the values that apply to a target and the lines that set them, as a table.
func (p *Policy) Explain(out io.Writer, target Target) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, effective := range p.EffectiveValues(target) {
		source := "default"
		if effective.Line > 0 {
			source = fmt.Sprintf("line %d (%s)", effective.Line, effective.Scope)
		}
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\n",
			effective.Key.Name, effective.Key.Format(effective.Value), source); err != nil {
			return fmt.Errorf("writing the effective values: %w", err)
		}
	}
	return table.Flush()
}

// Change is one key whose value for a target differs between two policies.
type Change struct {
	Target   Target
	Old, New EffectiveValue
}

// Diff lists the differences between two policies for the given targets.
func Diff(old, updated *Policy, targets []Target) (changes []Change) {
	for _, target := range targets {
		for _, key := range Keys {
			before, after := old.Find(target, key), updated.Find(target, key)
			if before.Value != after.Value {
				changes = append(changes, Change{target, before, after})
			}
		}
	}
	return changes
}
