// Package amqptest is the project's conformance suite of AMQP 0-9-1: scenes of frames that are sent
// and frames that must come, each named by the section of the specification that it is about,
// played over a socket against whatever serves the protocol. The grammar of the methods is the
// program's own (internal/net/amqp); what the scenes expect is not.
//
// A scene is a block of lines:
//
//	= 1.8.3.10 get of an empty queue    its section, and what it is about
//	@ front                             only for that kind of server (front, broker); without it for both
//	! connection                        opens the connection only; without it channel 1 too; "! nothing": not even that
//	> basic.get 1 queue=q               sends a method on a channel; arguments that are not named are zero
//	< basic.get-empty 1                 the next method that must come, with the arguments that are named
//	> basic.publish 1 routing-key=1 | message-id=a type=safe | the body
//	< basic.deliver 1 delivery-tag=$t | type=delivered
//	raw 01 0001 00000000 ce             sends bytes
//	slow                                the next line that sends does so octet by octet
//	cut 5                               the next line that sends sends so many octets, and the connection ends
//	beat                                sends a heartbeat
//	header                              the protocol header must come, as the answer to another
//	eof                                 the connection must end
//	again                               a new connection, opened as the scene's first
//
// A value that begins with $ is kept where it is expected first, and stands for what was kept after
// that; $id is a word of the scene's own.
package amqptest

import (
	"embed"
	"encoding/hex"
	"fmt"
	"path"
	"strconv"
	"strings"

	"brackendale/internal/net/amqp"
)

// The kinds of server.
const (
	Front  = "front"
	Broker = "broker"
)

// Scene is one scene.
type Scene struct {
	Section, Name string
	For           string // empty: every kind of server
	open          string
	steps         []step
}

// step is one line of a scene.
type step struct {
	line    string
	do      string // the first word
	spec    *amqp.Spec
	channel uint16
	args    map[string]string
	props   map[string]string
	body    string
	content bool // a content was written down
	raw     []byte
	n       int
}

//go:embed scenes/*.txt
var files embed.FS

// Scenes reads all scenes: the written ones, in the order of their files, and those that follow from the grammar.
func Scenes() ([]Scene, error) {
	entries, err := files.ReadDir("scenes")
	if err != nil {
		return nil, fmt.Errorf("amqptest: %w", err)
	}
	var all []Scene
	for _, e := range entries {
		text, err := files.ReadFile(path.Join("scenes", e.Name()))
		if err != nil {
			return nil, fmt.Errorf("amqptest: %w", err)
		}
		list, err := Parse(string(text))
		if err != nil {
			return nil, fmt.Errorf("amqptest: %s: %w", e.Name(), err)
		}
		all = append(all, list...)
	}
	return append(all, derived()...), nil
}

var names = func() map[string]*amqp.Spec {
	m := map[string]*amqp.Spec{}
	amqp.Specs(func(s *amqp.Spec) { m[s.Name] = s })
	return m
}()

// Parse reads scenes from text; lines that begin with # are passed over.
func Parse(text string) ([]Scene, error) {
	var all []Scene
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		bad := func(err error) error { return fmt.Errorf("line %d: %q: %w", n, line, err) }
		if line[0] == '=' {
			section, name, ok := strings.Cut(strings.TrimSpace(line[1:]), " ")
			if !ok {
				return nil, bad(fmt.Errorf("wants a section and a name"))
			}
			all = append(all, Scene{Section: section, Name: name})
			continue
		}
		if len(all) == 0 {
			return nil, bad(fmt.Errorf("stands before the first scene"))
		}
		s := &all[len(all)-1]
		switch line[0] {
		case '@':
			s.For = strings.TrimSpace(line[1:])
		case '!':
			s.open = strings.TrimSpace(line[1:])
		default:
			st, err := parseStep(line)
			if err != nil {
				return nil, bad(err)
			}
			s.steps = append(s.steps, st)
		}
	}
	return all, nil
}

func parseStep(line string) (step, error) {
	do, rest, _ := strings.Cut(line, " ")
	s := step{line: line, do: do}
	var err error
	switch do {
	case ">", "<":
		err = s.method(rest)
	case "raw":
		s.raw, err = hex.DecodeString(strings.ReplaceAll(rest, " ", ""))
	case "cut":
		s.n, err = strconv.Atoi(rest)
	case "slow", "beat", "header", "eof", "again":
	default:
		err = fmt.Errorf("no such step")
	}
	return s, err
}

func (s *step) method(text string) error {
	parts := strings.SplitN(text, "|", 3)
	f := strings.Fields(parts[0])
	if len(f) < 2 {
		return fmt.Errorf("wants a method and a channel")
	}
	if s.spec = names[f[0]]; s.spec == nil {
		return fmt.Errorf("no method %q", f[0])
	}
	ch, err := strconv.ParseUint(f[1], 10, 16)
	if err != nil {
		return fmt.Errorf("channel: %w", err)
	}
	s.channel = uint16(ch)
	if s.args, err = pairs(f[2:]); err != nil {
		return err
	}
	for name := range s.args {
		known := false
		for _, a := range s.spec.Args {
			known = known || a.Name == name
		}
		if !known {
			return fmt.Errorf("%s has no argument %q", s.spec.Name, name)
		}
	}
	if len(parts) > 1 {
		s.content = true
		if s.props, err = pairs(strings.Fields(parts[1])); err != nil {
			return err
		}
		for name := range s.props {
			if prop(&amqp.Props{}, name) == nil && !strings.HasPrefix(name, "header.") {
				return fmt.Errorf("no property %q", name)
			}
		}
	}
	if len(parts) > 2 {
		s.body = strings.TrimSpace(parts[2])
	}
	return nil
}

func pairs(words []string) (map[string]string, error) {
	m := map[string]string{}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			return nil, fmt.Errorf("%q is no name=value", w)
		}
		m[name] = value
	}
	return m, nil
}

// prop finds a property that is a string.
func prop(p *amqp.Props, name string) *string {
	return map[string]*string{
		"content-type": &p.ContentType, "correlation-id": &p.CorrelationID, "reply-to": &p.ReplyTo,
		"expiration": &p.Expiration, "message-id": &p.MessageID, "type": &p.Type, "user-id": &p.UserID, "app-id": &p.AppID,
	}[name]
}
