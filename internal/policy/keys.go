// Package policy implements an operator's rules for messages: timeouts, attempts, backoff, rates and shares for a
// class, a destination, a route, or a combination of them. It parses and validates values, and finds the value that
// applies to a target together with the line that sets it. It reads no files. No program uses it yet.
package policy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a value.
type Kind uint8

// The kinds of value. Durations are stored in microseconds, and ratios in thousandths.
const (
	KindDuration Kind = iota + 1
	KindCount
	KindRatio
	KindKeyword     // one of the key's Keywords
	KindKeywordList // some of the key's Keywords, separated by commas
)

// Key describes a setting that a rule may have.
type Key struct {
	Name     string
	Kind     Kind
	Min, Max int64 // bounds of a number
	Keywords []string
	Default  string // as written in the file
	Doc      string // text for the reference page
}

const (
	ratioScale = 1000 // a ratio is stored in thousandths
	maxRatio   = 1e9
)

// retryOutcomes are the outcomes of attempts after which a retry can be configured, named as in the log and the
// console.
var retryOutcomes = []string{"full", "no-connection", "error", "late", "reset", "called-back"}

// Keys lists all settings. Parsing, validation, Explain and the reference page use this table.
var Keys = []Key{
	{
		Name: "connect", Kind: KindDuration, Min: 1_000, Max: 60_000_000, Default: "1500ms",
		Doc: "how long a connect may take",
	},
	{
		Name: "answer", Kind: KindDuration, Min: 1_000, Max: 600_000_000, Default: "10s",
		Doc: "how long an attempt may take, from its first byte to its answer",
	},
	{
		Name: "answer_of_usual", Kind: KindRatio, Min: 0, Max: 100_000, Default: "0",
		Doc: "the same as a multiple of the learnt 99th percentile, never above answer; 0: answer alone",
	},
	{
		Name: "attempts", Kind: KindCount, Min: 1, Max: 8, Default: "8",
		Doc: "attempts at most, the first among them",
	},
	{
		Name: "spacing", Kind: KindKeyword, Keywords: []string{"fixed", "exponential", "decorrelated"},
		Default: "exponential",
		Doc:     "how the wait before a further attempt grows",
	},
	{
		Name: "wait", Kind: KindDuration, Min: 0, Max: 600_000_000, Default: "100ms",
		Doc: "the first wait",
	},
	{
		Name: "wait_most", Kind: KindDuration, Min: 0, Max: 600_000_000, Default: "800ms",
		Doc: "the longest wait",
	},
	{
		Name: "jitter", Kind: KindRatio, Min: 0, Max: 1_000, Default: "0.5",
		Doc: "how much of a wait is drawn at random: 0 none, 1 all of it",
	},
	{
		Name: "retry_on", Kind: KindKeywordList, Keywords: retryOutcomes,
		Default: "full,no-connection,error,late,reset,called-back",
		Doc:     "outcomes after which another attempt is wanted, as far as the class allows it",
	},
	{
		Name: "in_flight", Kind: KindCount, Min: 1, Max: 1 << 16, Default: "65536",
		Doc: "attempts at a time",
	},
	{
		Name: "rate", Kind: KindRatio, Min: 0, Max: 1 << 30, Default: "0",
		Doc: "messages a second; 0: any",
	},
	{
		Name: "burst", Kind: KindCount, Min: 1, Max: 1 << 20, Default: "1",
		Doc: "of them at once",
	},
	{
		Name: "quota", Kind: KindCount, Min: 0, Max: 1 << 40, Default: "0",
		Doc: "messages in a calendar day; 0: any",
	},
	{
		Name: "told_wait_least", Kind: KindDuration, Min: 0, Max: 600_000_000, Default: "0s",
		Doc: "a told wait counts as at least so long",
	},
	{
		Name: "told_wait_most", Kind: KindDuration, Min: 0, Max: 600_000_000, Default: "600s",
		Doc: "and as at most so long; a shorter one than was told breaks the told wait",
	},
	{
		Name: "priority", Kind: KindCount, Min: 0, Max: 9, Default: "5",
		Doc: "who is shed first when room is short: 0 before 9",
	},
	{
		Name: "share", Kind: KindCount, Min: 1, Max: 1 << 20, Default: "1",
		Doc: "of what tenants may have together",
	},
}

// KeyByName returns the key of a name, and whether there is one.
func KeyByName(name string) (Key, bool) {
	for _, key := range Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

// Value is the value of a key.
type Value struct {
	Number int64  // of a numeric key, in the unit of its kind
	Text   string // of a key whose values are keywords
}

// Parse parses and validates a value as it is written in the file.
func (k Key) Parse(text string) (Value, error) {
	if k.Kind == KindKeyword || k.Kind == KindKeywordList {
		return k.parseKeywords(text)
	}
	number, err := k.parseNumber(text)
	if err != nil {
		return Value{}, err
	}
	value := Value{Number: number}
	if number < k.Min || number > k.Max {
		return value, fmt.Errorf("%s is out of range: %s to %s",
			text, k.Format(Value{Number: k.Min}), k.Format(Value{Number: k.Max}))
	}
	return value, nil
}

// parseKeywords parses one keyword, or a list of keywords separated by commas or spaces.
func (k Key) parseKeywords(text string) (Value, error) {
	keywords := []string{text}
	if k.Kind == KindKeywordList {
		keywords = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	}
	for _, keyword := range keywords {
		if !slices.Contains(k.Keywords, keyword) {
			return Value{}, fmt.Errorf("%q is not one of %s", keyword, strings.Join(k.Keywords, ", "))
		}
	}
	return Value{Text: strings.Join(keywords, ",")}, nil
}

// parseNumber parses a number and converts it to the unit of the kind.
func (k Key) parseNumber(text string) (int64, error) {
	switch k.Kind {
	case KindDuration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 250ms or 3s", text)
		}
		return duration.Microseconds(), nil
	case KindRatio:
		ratio, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ratio >= 0 && ratio <= maxRatio) {
			return 0, fmt.Errorf("%q is not a number from 0 to 1e9", text)
		}
		return int64(ratio*ratioScale + 0.5), nil
	default:
		count, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not an integer", text)
		}
		return count, nil
	}
}

// Format returns a value in the form in which it is written in the file.
func (k Key) Format(value Value) string {
	switch k.Kind {
	case KindKeyword, KindKeywordList:
		return value.Text
	case KindDuration:
		return (time.Duration(value.Number) * time.Microsecond).String()
	case KindRatio:
		return strconv.FormatFloat(float64(value.Number)/ratioScale, 'f', -1, 64)
	}
	return strconv.FormatInt(value.Number, 10)
}
