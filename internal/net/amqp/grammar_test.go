package amqp

import (
	"cmp"
	"slices"
	"testing"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "100") }

// The grammar has all 64 methods, those of the specification and RabbitMQ's documented extensions. The response to a
// method is one of the same class that the other side may send.
func TestGrammarIsComplete(t *testing.T) {
	classes := map[uint16]int{}
	Specs(func(spec *Spec) {
		classes[spec.Class()]++
		if response, ok := SpecOf(spec.Response); spec.Response != 0 &&
			(!ok || response.FromServer != spec.FromClient && !spec.FromServer || response.Class() != spec.Class()) {
			t.Errorf("%s: response %s is unknown, of another class, or not sent by the other side", spec.Name, spec.Response)
		}
	})
	for class, count := range map[uint16]int{10: 14, 20: 6, 40: 8, 50: 10, 60: 18, 85: 2, 90: 6} {
		if classes[class] != count {
			t.Errorf("class %d: got %d methods, want %d", class, classes[class], count)
		}
	}
	for method, name := range map[Key]string{
		ExchangeUnbindOk: "exchange.unbind-ok", QueueUnbind: "queue.unbind", GetEmpty: "basic.get-empty",
		RecoverOk: "basic.recover-ok", TxRollbackOk: "tx.rollback-ok", ConnUpdateSecretOk: "connection.update-secret-ok",
		Key(99 << 16): "method 99.0",
	} {
		if method.String() != name {
			t.Errorf("method name: got %q, want %q", method, name)
		}
	}
}

// Every method with any arguments that the grammar allows decodes to what was encoded. Adjacent bits share an octet.
func TestEveryMethodRoundTrips(t *testing.T) {
	var all []*Spec
	Specs(func(spec *Spec) { all = append(all, spec) })
	slices.SortFunc(all, func(a, b *Spec) int { return cmp.Compare(a.Key, b.Key) })
	if len(all) != 64 {
		t.Fatal("methods:", len(all))
	}
	rapid.Check(t, func(t *rapid.T) {
		for _, spec := range all {
			var args []any
			for _, a := range spec.Args {
				switch a.Kind {
				case 'b':
					args = append(args, rapid.Bool().Draw(t, a.Name))
				case 'S':
					args = append(args, rapid.StringN(0, 60, 255).Draw(t, a.Name))
				case 'X':
					args = append(args, rapid.StringN(0, 100, 400).Draw(t, a.Name))
				case 'T':
					args = append(args, Table{"a": rapid.Int64().Draw(t, a.Name), "in": Table{"yes": true}, "s": "x"})
				default:
					bits := map[byte]int{'o': 8, 's': 16, 'l': 32, 'L': 64}[a.Kind]
					args = append(args, rapid.Uint64().Draw(t, a.Name)>>(64-bits))
				}
			}
			encoded := AppendMethod(nil, 7, spec.Key, args...)
			frame, size, err := ParseFrame(encoded, FrameMax)
			if err != nil || size != len(encoded) || frame.Channel != 7 {
				t.Fatal(spec.Name, size, err)
			}
			decoded, err := ParseMethod(frame.Payload)
			if err != nil || decoded.Key != spec.Key {
				t.Fatal(spec.Name, err)
			}
			for i, a := range spec.Args {
				var equal bool
				if a.Kind != 'T' {
					equal = decoded.Arg(i) == args[i]
				} else {
					want, got := args[i].(Table), decoded.Table(i)
					equal = got["a"] == want["a"] && got["s"] == "x" && got["in"].(Table)["yes"] == true
				}
				if !equal {
					t.Fatalf("%s %s: got %v, want %v", spec.Name, a.Name, decoded.Arg(i), args[i])
				}
			}
		}
	})
}
