package amqptest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"brackendale/internal/net/amqp"
)

// sections of the reference by class.
var sections = map[string]string{
	"connection": "1.4", "channel": "1.5", "exchange": "1.6", "queue": "1.7", "basic": "1.8",
	"tx": "1.9", "confirm": "extension",
}

// derived makes the scenes that follow from the grammar alone, for each method: its arguments cut short are a syntax
// error; on the wrong kind of channel, or from the wrong side, it is out of place; and on a channel that is not open it
// has nothing to act on.
func derived() (all []Scene) {
	var list []*amqp.Spec
	amqp.Specs(func(s *amqp.Spec) { list = append(list, s) })
	slices.SortFunc(list, func(a, b *amqp.Spec) int { return cmp.Compare(a.Key, b.Key) })
	for _, s := range list {
		class, _, _ := strings.Cut(s.Name, ".")
		add := func(name string, frame []byte, code int) {
			all = append(all, Scene{Section: sections[class], Name: fmt.Sprintf("%s %s", s.Name, name), steps: append(
				[]step{{line: "raw", do: "raw", raw: frame}}, lines(fmt.Sprintf("< connection.close 0 reply-code=%d", code))...)})
		}
		home, away := uint16(1), uint16(0)
		if class == "connection" {
			home, away = 0, 1
		}
		if len(s.Args) > 0 {
			short := amqp.AppendFrame(nil, amqp.FrameMethod, home, func(b []byte) []byte {
				whole := zero(s, home)
				payload := whole[7 : len(whole)-1]
				return append(b, payload[:len(payload)-1]...)
			})
			add("with its arguments cut short", short, amqp.SyntaxError)
		}
		if !s.FromClient {
			add("from the client", content(s, home), amqp.CommandInvalid)
			continue
		}
		if s.Key != amqp.ChanCloseOk && s.Key != amqp.ConnCloseOk { // those may cross
			add("on the wrong channel", content(s, away), amqp.CommandInvalid)
		}
		if class != "connection" && s.Key != amqp.ChanOpen && s.Key != amqp.ChanCloseOk {
			add("on a channel that is not open", content(s, 5), amqp.ChannelError)
		}
	}
	return all
}

// zero is a method with nothing in its arguments.
func zero(s *amqp.Spec, ch uint16) []byte {
	args := make([]any, len(s.Args))
	for i, a := range s.Args {
		args[i], _ = value(a.Kind, "")
	}
	return amqp.AppendMethod(nil, ch, s.Key, args...)
}

// content is the same, with an empty content where the method has one.
func content(s *amqp.Spec, ch uint16) []byte {
	b := zero(s, ch)
	if !s.Content {
		return b
	}
	return amqp.AppendFrame(b, amqp.FrameHeader, ch, func(b []byte) []byte {
		return append(b, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	})
}
