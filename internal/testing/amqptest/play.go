package amqptest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/net/amqp"
)

// Target is a server that scenes are played against.
type Target struct {
	Kind  string
	Dial  func() (net.Conn, error)
	Limit time.Duration // after which a scene hangs
}

// Result is how one scene went; Err nil: as written.
type Result struct {
	Scene Scene
	Err   error
}

// Play plays all scenes that are for that kind of server, one after another.
func (t Target) Play(scenes []Scene) []Result {
	var list []Result
	for i, s := range scenes {
		if s.For == "" || s.For == t.Kind {
			list = append(list, Result{s, t.play(s, fmt.Sprintf("s%d", i))})
		}
	}
	return list
}

// player is one scene that is being played.
type player struct {
	Target
	scene Scene
	conn  net.Conn
	buf   []byte
	asm   map[uint16]*amqp.Assembly
	kept  map[string]string
	slow  bool
	cut   int // 0: not
}

func (t Target) play(scene Scene, id string) (err error) {
	p := &player{Target: t, scene: scene, kept: map[string]string{"$id": id, "$plain": "\x00guest\x00guest"}}
	defer func() {
		if p.conn != nil {
			_ = p.conn.Close()
		}
	}()
	if err := p.open(); err != nil {
		return fmt.Errorf("opening: %w", err)
	}
	for _, st := range scene.steps {
		if err := p.step(st); err != nil {
			return fmt.Errorf("%s: %w", st.line, err)
		}
	}
	return nil
}

// open begins a connection, as far as the scene wants it.
func (p *player) open() (err error) {
	if p.conn != nil {
		_ = p.conn.Close()
	}
	if p.conn, err = p.Dial(); err != nil {
		return err
	}
	_ = p.conn.SetDeadline(time.Now().Add(p.Limit))
	p.buf, p.asm, p.slow, p.cut = nil, map[uint16]*amqp.Assembly{}, false, 0
	if p.scene.open == "nothing" {
		return nil
	}
	steps := handshake
	if p.scene.open == "" {
		steps = append(steps[:len(steps):len(steps)], channel...)
	}
	if err := p.send([]byte(amqp.ProtocolHeader)); err != nil {
		return err
	}
	for _, st := range steps {
		if err := p.step(st); err != nil {
			return fmt.Errorf("%s: %w", st.line, err)
		}
	}
	return nil
}

// handshake and channel open what most scenes want open.
var (
	handshake = lines("< connection.start 0 version-major=0 version-minor=9",
		"> connection.start-ok 0 mechanism=PLAIN response=\x00guest\x00guest locale=en_US",
		"< connection.tune 0", "> connection.tune-ok 0 channel-max=8 frame-max=4096",
		"> connection.open 0 virtual-host=/", "< connection.open-ok 0")
	channel = lines("> channel.open 1", "< channel.open-ok 1")
)

// lines reads steps of this package's own text.
func lines(text ...string) (list []step) {
	for _, l := range text {
		s, err := parseStep(l)
		if err != nil {
			panic(err)
		}
		list = append(list, s)
	}
	return list
}

func (p *player) step(s step) error {
	switch s.do {
	case "slow":
		p.slow = true
	case "cut":
		p.cut = s.n
	case "raw":
		return p.send(s.raw)
	case "beat":
		return p.send(amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil))
	case "again":
		return p.open()
	case "header":
		b := make([]byte, len(amqp.ProtocolHeader))
		if _, err := io.ReadFull(p.conn, b); err != nil || string(b) != amqp.ProtocolHeader {
			return fmt.Errorf("%q came, %w", b, err)
		}
	case "eof":
		if _, m, err := p.next(); err == nil {
			return fmt.Errorf("%s came", m.Key)
		} else if !errors.Is(err, io.EOF) && !isReset(err) {
			return err
		}
	case ">":
		b, err := p.frames(s)
		if err != nil {
			return err
		}
		return p.send(b)
	case "<":
		return p.expect(s)
	}
	return nil
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset") }

func (p *player) send(raw []byte) error {
	if p.cut > 0 {
		raw = raw[:min(p.cut, len(raw))]
	}
	piece := len(raw)
	if p.slow {
		piece = 1
	}
	for len(raw) > 0 {
		n := min(piece, len(raw))
		if _, err := p.conn.Write(raw[:n]); err != nil {
			return err
		}
		raw = raw[n:]
	}
	if p.slow = false; p.cut > 0 {
		p.cut = 0
		return p.conn.Close()
	}
	return nil
}

// word gives what a value stands for.
func (p *player) word(v string) string {
	if at := strings.IndexByte(v, '$'); at >= 0 {
		if kept, ok := p.kept[v[at:]]; ok {
			return v[:at] + kept
		}
	}
	return v
}

func (p *player) frames(s step) ([]byte, error) {
	args := make([]any, len(s.spec.Args))
	for i, a := range s.spec.Args {
		v, err := value(a.Kind, p.word(s.args[a.Name]))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", a.Name, err)
		}
		args[i] = v
	}
	if !s.content {
		return amqp.AppendMethod(nil, s.channel, s.spec.Key, args...), nil
	}
	props := &amqp.Props{}
	for name, v := range s.props {
		if h, ok := strings.CutPrefix(name, "header."); ok {
			if props.Headers == nil {
				props.Headers = amqp.Table{}
			}
			props.Headers[h] = p.word(v)
		} else {
			*prop(props, name) = p.word(v)
		}
	}
	body := s.body
	if n, err := strconv.Atoi(strings.TrimPrefix(body, "octets ")); err == nil && strings.HasPrefix(body, "octets ") {
		body = strings.Repeat("x", n)
	}
	return amqp.AppendMessage(nil, s.channel, s.spec.Key, props, []byte(body), amqp.FrameMin, args...), nil
}

// value reads an argument. A table is written {name:value,...}, of numbers, words, true, false and further tables.
func value(kind byte, text string) (any, error) {
	switch kind {
	case 'b':
		return text == "true", nil
	case 'S', 'X':
		return text, nil
	case 'T':
		t, _ := table(strings.TrimPrefix(text, "{"))
		return t, nil
	}
	if text == "" {
		return uint64(0), nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// table reads the fields up to the brace that ends them, and gives what is left.
func table(text string) (amqp.Table, string) {
	t := amqp.Table{}
	for text != "" && text[0] != '}' {
		name, rest, _ := strings.Cut(text, ":")
		name = strings.TrimPrefix(name, ",")
		if in, ok := strings.CutPrefix(rest, "{"); ok {
			t[name], text = table(in)
			continue
		}
		end := strings.IndexAny(rest, ",}")
		if end < 0 {
			end = len(rest)
		}
		v := rest[:end]
		text = rest[end:]
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			t[name] = n
		} else if v == "true" || v == "false" {
			t[name] = v == "true"
		} else {
			t[name] = v
		}
	}
	return t, strings.TrimPrefix(text, "}")
}

// next gives the next method that comes, on whatever channel.
func (p *player) next() (uint16, *amqp.Message, error) {
	for {
		f, n, err := amqp.ParseFrame(p.buf, amqp.FrameMax)
		if err != nil {
			return 0, nil, err
		}
		if n == 0 {
			b := make([]byte, 8192)
			k, err := p.conn.Read(b)
			if err != nil {
				return 0, nil, err
			}
			p.buf = append(p.buf, b[:k]...)
			continue
		}
		p.buf = p.buf[n:]
		if f.Kind == amqp.FrameHeartbeat {
			continue
		}
		if p.asm[f.Channel] == nil {
			p.asm[f.Channel] = &amqp.Assembly{}
		}
		if m, err := p.asm[f.Channel].Add(f); m != nil || err != nil {
			return f.Channel, m, err
		}
	}
}

func (p *player) expect(s step) error {
	ch, m, err := p.next()
	if err != nil {
		return err
	}
	if m.Key != s.spec.Key || ch != s.channel {
		return fmt.Errorf("%s came on channel %d%s", m.Key, ch, why(m))
	}
	for i, a := range s.spec.Args {
		if want, ok := s.args[a.Name]; ok {
			if err := p.same(a.Name, want, fmt.Sprint(m.Arg(i))); err != nil {
				return err
			}
		}
	}
	for name, want := range s.props {
		var got string
		if h, ok := strings.CutPrefix(name, "header."); ok {
			got = fmt.Sprint(m.Props.Headers[h])
		} else {
			got = *prop(m.Props, name)
		}
		if err := p.same(name, want, got); err != nil {
			return err
		}
	}
	if s.body != "" && s.body != string(m.Body) {
		return fmt.Errorf("the body is %q", m.Body)
	}
	return nil
}

// same compares, or keeps what has no value yet.
func (p *player) same(name, want, got string) error {
	if strings.HasPrefix(want, "$") {
		if _, ok := p.kept[want]; !ok {
			p.kept[want] = got
			return nil
		}
	}
	if want = p.word(want); want != got {
		return fmt.Errorf("%s is %s", name, got)
	}
	return nil
}

// why adds the reason of a close to what is told of it.
func why(m *amqp.Message) string {
	if m.Key == amqp.ConnClose || m.Key == amqp.ChanClose {
		return fmt.Sprintf(": %d %s", m.Int(0), m.Str(1))
	}
	return ""
}
