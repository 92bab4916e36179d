package amqptest

import (
	"fmt"
	"io"
	"strings"
)

// Report is the results of the scenes against some servers, by their kinds.
type Report struct {
	Kinds   []string
	Results map[string][]Result
}

// Failed counts the scenes that did not go as written.
func (r Report) Failed() (n int) {
	for _, list := range r.Results {
		for _, x := range list {
			if x.Err != nil {
				n++
			}
		}
	}
	return n
}

// tally counts scenes.
type tally struct{ good, all int }

// summary is a report in the form of its tables.
type summary struct {
	sections  []string                     // in their order
	bySection map[string]map[string]*tally // by section, then kind
	scenes    []string                     // "section | name", in their order
	results   map[string]map[string]string // by scene, then kind
}

func (r Report) summarize() summary {
	sum := summary{bySection: map[string]map[string]*tally{}, results: map[string]map[string]string{}}
	for _, kind := range r.Kinds {
		for _, result := range r.Results[kind] {
			sum.add(kind, result)
		}
	}
	return sum
}

func (s *summary) add(kind string, result Result) {
	section := result.Scene.Section
	if s.bySection[section] == nil {
		s.bySection[section] = map[string]*tally{}
		s.sections = append(s.sections, section)
	}
	count := s.bySection[section][kind]
	if count == nil {
		count = &tally{}
		s.bySection[section][kind] = count
	}
	count.all++
	text := "as written"
	if result.Err != nil {
		text = "**" + strings.ReplaceAll(result.Err.Error(), "|", "/") + "**"
	} else {
		count.good++
	}
	name := section + " | " + result.Scene.Name
	if s.results[name] == nil {
		s.results[name] = map[string]string{}
		s.scenes = append(s.scenes, name)
	}
	s.results[name][kind] = text
}

// Markdown writes the tables: first by section, then every scene. command is the one that made them.
func (r Report) Markdown(out io.Writer, command string) error {
	sum := r.summarize()
	p := &printer{w: out}
	p.f("# AMQP 0-9-1: conformance\n\nMade by `%s`; the scenes are in `internal/testing/amqptest`. A section is that of "+
		"the specification\n"+
		"(1.x of its reference, 2.x and 4.x of its text); an extension is RabbitMQ's, as documented. A scene that is "+
		"not for a kind of\n"+
		"server is left out there: what a sender refuses, and why, stands in `amqp.md`.\n\n", command)
	heads, lines := "", ""
	for _, kind := range r.Kinds {
		heads, lines = heads+" "+kind+" |", lines+" --- |"
	}
	p.f("| section |%s\n| --- |%s\n", heads, lines)
	r.writeSections(p, sum)
	p.f("\n\n## The scenes\n\n| section | scene |%s\n| --- | --- |%s\n", heads, lines)
	for _, name := range sum.scenes {
		p.f("| %s |", name)
		for _, kind := range r.Kinds {
			p.f(" %s |", sum.results[name][kind])
		}
		p.f("\n")
	}
	return p.err
}

// writeSections writes a row for each section, and one for all, without its line end.
func (r Report) writeSections(printed *printer, sum summary) {
	total := map[string]tally{}
	for _, section := range sum.sections {
		printed.f("| %s |", section)
		for _, kind := range r.Kinds {
			count := sum.bySection[section][kind]
			if count == nil {
				printed.f(" |")
				continue
			}
			before := total[kind]
			total[kind] = tally{before.good + count.good, before.all + count.all}
			printed.f(" %d of %d |", count.good, count.all)
		}
		printed.f("\n")
	}
	printed.f("| **all** |")
	for _, kind := range r.Kinds {
		printed.f(" **%d of %d** |", total[kind].good, total[kind].all)
	}
}

// printer keeps the first error of many writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) f(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
