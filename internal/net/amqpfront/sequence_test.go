package amqpfront

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"brackendale/internal/net/amqp"
)

// FuzzSequences sends methods of the whole grammar in any order, on open and closed channels, with arguments that are
// empty or name existing objects. The sender must reply only with methods that a server may send, and either close the
// connection with a reply code, or continue and reply to the connection.close at the end. The input has three bytes per
// method: the method, the channel, and the variant of the arguments.
func FuzzSequences(f *testing.F) {
	var specs []*amqp.Spec
	amqp.Specs(func(spec *amqp.Spec) { specs = append(specs, spec) })
	slices.SortFunc(specs, func(a, b *amqp.Spec) int { return cmp.Compare(a.Key, b.Key) })
	indexOf := func(key amqp.Key) byte {
		return byte(slices.IndexFunc(specs, func(spec *amqp.Spec) bool { return spec.Key == key }))
	}
	f.Add([]byte{indexOf(amqp.TxSelect), 2, 0, indexOf(amqp.Publish), 2, 3, indexOf(amqp.TxCommit), 2, 0})
	f.Add([]byte{
		indexOf(amqp.Consume), 1, 1, indexOf(amqp.Publish), 1, 3, indexOf(amqp.Recover), 1, 2, indexOf(amqp.QueueDelete), 1,
		1, indexOf(amqp.ChanClose), 1, 0,
	})
	f.Add([]byte{
		indexOf(amqp.Publish), 1, 3, indexOf(amqp.Publish), 1, 3, indexOf(amqp.Get), 1, 1, indexOf(amqp.Nack), 1, 2,
		indexOf(amqp.ChanOpen), 1, 0,
	})
	f.Add([]byte{
		indexOf(amqp.ConnOpen), 0, 0, indexOf(amqp.ConnUpdateSecret), 0, 1, indexOf(amqp.ChanFlow), 3, 0,
		indexOf(amqp.ConnCloseOk), 0, 0,
	})
	// An input found by fuzzing, which made the sender end the connection.
	f.Add([]byte{indexOf(amqp.Ack), 1, 0x30, indexOf(amqp.ConnCloseOk), 1, 0})
	addr, _ := startInstantSender(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		client := dial(t, addr)
		client.writeMethod(2, amqp.ChanOpen, "")
		client.want(amqp.ChanOpenOk)
		for ; len(input) >= 3; input = input[3:] {
			spec, ch, variant := specs[int(input[0])%len(specs)], uint16(input[1]%4), input[2]
			if spec.Key == amqp.ConnClose {
				continue
			}
			args := make([]any, len(spec.Args))
			for i, a := range spec.Args {
				switch a.Kind {
				case 'b':
					args[i] = variant&2 != 0
				case 'S', 'X':
					args[i] = ""
					switch {
					case variant&1 == 0:
					case a.Name == "exchange":
						args[i] = "messages"
					case a.Name == "routing-key":
						args[i] = "7"
					default:
						args[i] = "q"
					}
				case 'T':
					args[i] = amqp.Table{}
				default:
					args[i] = uint64(variant >> 4)
				}
			}
			if spec.Content && variant&8 == 0 {
				_, _ = client.Write(amqp.AppendMessage(nil, ch, spec.Key,
					&amqp.Props{MessageID: string([]byte{'m', 'a' + input[0]%16}), Type: "once", ReplyTo: "q"},
					[]byte("b"), amqp.FrameMin, args...))
				continue
			}
			client.writeMethod(ch, spec.Key, args...)
		}
		client.writeMethod(0, amqp.ConnClose, 200, "", 0, 0)
		_ = client.SetDeadline(time.Now().Add(10 * time.Second))
		for {
			_, msg, err := client.next()
			if err != nil {
				t.Fatal(err) // the connection ended without a reply, or the reply is overdue
			}
			if spec, ok := amqp.SpecOf(msg.Key); !ok || !spec.FromServer {
				t.Fatalf("the server sent %s", msg.Key)
			}
			if msg.Key == amqp.ConnCloseOk || msg.Key == amqp.ConnClose && msg.Int(0) >= 300 {
				return
			}
		}
	})
}
