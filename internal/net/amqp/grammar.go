package amqp

import (
	"fmt"
	"strconv"
	"strings"
)

// grammar lists all methods of AMQP 0-9-1, one per line: which side may send it, its class and name, its class and
// method ID, and its arguments by name and kind. An indented line continues the line before it. The encoder, the
// decoder and the tests of this package, of the AMQP front and of the conformance suite are derived from this list.
//
// The methods are those of section 1 (classes and methods) of the specification's generated reference, and of
// RabbitMQ's documented extensions: confirm, basic.nack, connection.blocked and unblocked, connection.update-secret,
// exchange.bind and exchange.unbind.
//
// Sides: S the server, C the client, B both. An = after the IDs names the method with which the other side must reply.
// Kinds: o octet, s short, l long, L longlong, b bit (adjacent bits share an octet), S short string, X long string,
// T table. A * at the end means that a content follows.
const grammar = `
S connection.start 10.10 =start-ok version-major:o version-minor:o server-properties:T mechanisms:X locales:X
C connection.start-ok 10.11 client-properties:T mechanism:S response:X locale:S
S connection.secure 10.20 =secure-ok challenge:X
C connection.secure-ok 10.21 response:X
S connection.tune 10.30 =tune-ok channel-max:s frame-max:l heartbeat:s
C connection.tune-ok 10.31 channel-max:s frame-max:l heartbeat:s
C connection.open 10.40 =open-ok virtual-host:S reserved-1:S reserved-2:b
S connection.open-ok 10.41 reserved-1:S
B connection.close 10.50 =close-ok reply-code:s reply-text:S class-id:s method-id:s
B connection.close-ok 10.51
S connection.blocked 10.60 reason:S
S connection.unblocked 10.61
C connection.update-secret 10.70 =update-secret-ok new-secret:X reason:S
S connection.update-secret-ok 10.71
C channel.open 20.10 =open-ok reserved-1:S
S channel.open-ok 20.11 reserved-1:X
B channel.flow 20.20 =flow-ok active:b
B channel.flow-ok 20.21 active:b
B channel.close 20.40 =close-ok reply-code:s reply-text:S class-id:s method-id:s
B channel.close-ok 20.41
C exchange.declare 40.10 =declare-ok reserved-1:s exchange:S type:S passive:b durable:b auto-delete:b
  internal:b no-wait:b arguments:T
S exchange.declare-ok 40.11
C exchange.delete 40.20 =delete-ok reserved-1:s exchange:S if-unused:b no-wait:b
S exchange.delete-ok 40.21
C exchange.bind 40.30 =bind-ok reserved-1:s destination:S source:S routing-key:S no-wait:b arguments:T
S exchange.bind-ok 40.31
C exchange.unbind 40.40 =unbind-ok reserved-1:s destination:S source:S routing-key:S no-wait:b arguments:T
S exchange.unbind-ok 40.51
C queue.declare 50.10 =declare-ok reserved-1:s queue:S passive:b durable:b exclusive:b auto-delete:b
  no-wait:b arguments:T
S queue.declare-ok 50.11 queue:S message-count:l consumer-count:l
C queue.bind 50.20 =bind-ok reserved-1:s queue:S exchange:S routing-key:S no-wait:b arguments:T
S queue.bind-ok 50.21
C queue.purge 50.30 =purge-ok reserved-1:s queue:S no-wait:b
S queue.purge-ok 50.31 message-count:l
C queue.delete 50.40 =delete-ok reserved-1:s queue:S if-unused:b if-empty:b no-wait:b
S queue.delete-ok 50.41 message-count:l
C queue.unbind 50.50 =unbind-ok reserved-1:s queue:S exchange:S routing-key:S arguments:T
S queue.unbind-ok 50.51
C basic.qos 60.10 =qos-ok prefetch-size:l prefetch-count:s global:b
S basic.qos-ok 60.11
C basic.consume 60.20 =consume-ok reserved-1:s queue:S consumer-tag:S no-local:b no-ack:b exclusive:b
  no-wait:b arguments:T
S basic.consume-ok 60.21 consumer-tag:S
B basic.cancel 60.30 =cancel-ok consumer-tag:S no-wait:b
B basic.cancel-ok 60.31 consumer-tag:S
C basic.publish 60.40 reserved-1:s exchange:S routing-key:S mandatory:b immediate:b *
S basic.return 60.50 reply-code:s reply-text:S exchange:S routing-key:S *
S basic.deliver 60.60 consumer-tag:S delivery-tag:L redelivered:b exchange:S routing-key:S *
C basic.get 60.70 reserved-1:s queue:S no-ack:b
S basic.get-ok 60.71 delivery-tag:L redelivered:b exchange:S routing-key:S message-count:l *
S basic.get-empty 60.72 reserved-1:S
B basic.ack 60.80 delivery-tag:L multiple:b
C basic.reject 60.90 delivery-tag:L requeue:b
C basic.recover-async 60.100 requeue:b
C basic.recover 60.110 =recover-ok requeue:b
S basic.recover-ok 60.111
B basic.nack 60.120 delivery-tag:L multiple:b requeue:b
C confirm.select 85.10 =select-ok no-wait:b
S confirm.select-ok 85.11
C tx.select 90.10 =select-ok
S tx.select-ok 90.11
C tx.commit 90.20 =commit-ok
S tx.commit-ok 90.21
C tx.rollback 90.30 =rollback-ok
S tx.rollback-ok 90.31
`

// Spec describes one method, as the grammar lists it.
type Spec struct {
	Key
	Name string // "class.method"
	Args []Arg

	FromServer bool // the server may send it
	FromClient bool // the client may send it
	Content    bool // a content header and a body follow
	Response   Key  // the method with which the other side must reply; 0: none

	kinds string // the kinds of Args, one byte each
}

// Arg is the name and kind of one argument.
type Arg struct {
	Name string
	Kind byte // one of o, s, l, L, b, S, X and T, as in the grammar
}

var specs = parseGrammar(grammar)

// SpecOf returns the description of a method; ok is false for an unknown method.
func SpecOf(method Key) (spec *Spec, ok bool) {
	spec, ok = specs[method]
	return spec, ok
}

// Specs calls visit for each method, in an arbitrary order.
func Specs(visit func(*Spec)) {
	for _, spec := range specs {
		visit(spec)
	}
}

// String returns the name of the method, or its class and method ID if it is unknown.
func (k Key) String() string {
	if s, ok := specs[k]; ok {
		return s.Name
	}
	return fmt.Sprintf("method %d.%d", k.Class(), k.ID())
}

// parseGrammar parses the grammar. It panics on an error, because the text is a constant of this package.
func parseGrammar(text string) map[Key]*Spec {
	byKey, byName := map[Key]*Spec{}, map[string]*Spec{}
	responses := map[*Spec]string{}
	text = strings.ReplaceAll(text, "\n  ", " ") // continued lines
	for line := range strings.Lines(strings.TrimSpace(text)) {
		fields := strings.Fields(line)
		sender, name := fields[0], fields[1]
		class, id, _ := strings.Cut(fields[2], ".")
		spec := &Spec{
			Key:        methodKey(parseNumber(class), parseNumber(id)),
			Name:       name,
			FromServer: sender != "C",
			FromClient: sender != "S",
		}
		for _, arg := range fields[3:] {
			argName, kind, _ := strings.Cut(arg, ":")
			switch {
			case arg == "*":
				spec.Content = true
			case arg[0] == '=':
				responses[spec] = strings.Split(name, ".")[0] + "." + arg[1:]
			default:
				spec.Args = append(spec.Args, Arg{Name: argName, Kind: kind[0]})
				spec.kinds += kind
			}
		}
		byKey[spec.Key], byName[name] = spec, spec
	}
	for spec, response := range responses {
		spec.Response = byName[response].Key
	}
	return byKey
}

// parseNumber parses a class ID or method ID.
func parseNumber(text string) uint32 {
	parsed, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		panic(err)
	}
	return uint32(parsed)
}
