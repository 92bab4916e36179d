package amqp

import (
	"bytes"
	"errors"
	"math/rand"
	"reflect"
	"testing"
)

// validStream encodes four messages, one of them with a body of several frames, and a heartbeat.
func validStream() []byte {
	stream := AppendMethod(nil, 0, ConnStart, 0, 9, Table{"a": Table{"b": true, "n": int64(-4)}, "s": "x"}, "PLAIN",
		"en_US")
	stream = AppendMethod(stream, 3, QueueDeclare, 0, "q", true, false, true, false, true, Table{})
	props := &Props{
		MessageID: "m", ReplyTo: "q", Headers: Table{"k": "v"}, DeliveryMode: 2, Timestamp: 5, AppID: "t",
		Expiration: "9",
	}
	stream = append(stream, AppendMessage(nil, 3, Publish, props, bytes.Repeat([]byte("body"), 3000), FrameMin,
		0, "ex", "7", true, false)...)
	stream = AppendMethod(stream, 3, Nack, uint64(1)<<40, false, true)
	return AppendFrame(stream, FrameHeartbeat, 0, nil)
}

// readMessages decodes messages up to the end of data or the first error, and returns the number of bytes consumed.
func readMessages(data []byte) (messages []*Message, used int, err error) {
	assemblies := map[uint16]*Assembly{}
	for {
		frame, size, err := ParseFrame(data[used:], FrameMax)
		if size == 0 || err != nil {
			return messages, used, err
		}
		used += size
		if frame.Kind == FrameHeartbeat {
			continue
		}
		if assemblies[frame.Channel] == nil {
			assemblies[frame.Channel] = &Assembly{}
		}
		message, err := assemblies[frame.Channel].Add(frame)
		if err != nil {
			return messages, used, err
		}
		if message != nil {
			messages = append(messages, message)
		}
	}
}

func TestRoundTrip(t *testing.T) {
	stream := validStream()
	messages, used, err := readMessages(stream)
	if err != nil || used != len(stream) || len(messages) != 4 {
		t.Fatal(len(messages), used, err)
	}
	want := Table{"a": Table{"b": true, "n": int64(-4)}, "s": "x"}
	if !reflect.DeepEqual(messages[0].Table(2), want) || messages[0].Int(1) != 9 || messages[0].Str(3) != "PLAIN" {
		t.Error(messages[0].Method)
	}
	if declare := messages[1]; declare.Str(1) != "q" || !declare.Bool(2) || declare.Bool(3) || !declare.Bool(4) ||
		declare.Bool(5) || !declare.Bool(6) {
		t.Error(declare.Method)
	}
	if publish := messages[2]; publish.Props.MessageID != "m" || publish.Props.Headers["k"] != "v" ||
		publish.Props.Expiration != "9" || publish.Props.Timestamp != 5 || publish.Props.CorrelationID != "" ||
		len(publish.Body) != 12000 || !publish.Bool(3) || publish.Bool(4) {
		t.Error(publish.Props)
	}
	if nack := messages[3]; nack.Int(0) != 1<<40 || nack.Bool(1) || !nack.Bool(2) {
		t.Error(nack.Method)
	}
}

// Each kind of malformed or misplaced frame has the reply code that the specification gives it. Only the code for a
// body that is too large closes no more than the channel.
func TestFaults(t *testing.T) {
	header := func(size uint64) []byte {
		return AppendFrame(nil, FrameHeader, 1, func(data []byte) []byte { return (&Props{}).append(data, size) })
	}
	publish := AppendMethod(nil, 1, Publish, 0, "", "7", false, false)
	body := AppendFrame(nil, FrameBody, 1, func(data []byte) []byte { return append(data, "abcdef"...) })
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	deep := Table{}
	for range 12 {
		deep = Table{"x": deep}
	}
	for _, test := range []struct {
		name string
		data []byte
		code uint16
		soft bool
	}{
		{"unknown kind", []byte{9, 0, 0}, FrameError, false},
		{"too large", []byte{1, 0, 0, 0xff, 0, 0, 0}, FrameError, false},
		{"no end", []byte{1, 0, 0, 0, 0, 0, 0, 7}, FrameError, false},
		{"beat on a channel", []byte{8, 0, 1, 0, 0, 0, 0, frameEnd}, FrameError, false},
		{"no number", AppendFrame(nil, FrameMethod, 1, nil), SyntaxError, false},
		{"unknown method", AppendMethod(nil, 1, methodKey(99, 1)), NotImplemented, false},
		{"cut arguments", AppendFrame(nil, FrameMethod, 1,
			func(data []byte) []byte { return append(data, 0, 60, 0, 80, 1) }), SyntaxError, false},
		{"too deep", AppendMethod(nil, 1, ConnStartOk, deep, "", "", ""), SyntaxError, false},
		{"method in content", join(publish, publish), UnexpectedFrame, false},
		{"body first", join(publish, body), UnexpectedFrame, false},
		{"header first", header(1), UnexpectedFrame, false},
		{"body too long", join(publish, header(3), body), FrameError, false},
		{"content too large", join(publish, header(MaxBody+1)), ContentTooLarge, true},
	} {
		_, _, err := readMessages(test.data)
		var fault *Fault
		if !errors.As(err, &fault) || fault.Code != test.code || fault.Soft() != test.soft {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// Any input decodes to messages or to a fault with a reply code, within the limits and without a panic.
func FuzzRead(f *testing.F) {
	rng := rand.New(rand.NewSource(5))
	whole := validStream()
	for range 40 {
		cut := append([]byte(nil), whole[:rng.Intn(len(whole)+1)]...)
		if len(cut) > 0 && rng.Intn(2) == 0 {
			cut[rng.Intn(min(len(cut), 300))] ^= byte(1 + rng.Intn(255))
		}
		f.Add(cut)
		noise := make([]byte, rng.Intn(60))
		rng.Read(noise)
		f.Add(AppendFrame(nil, FrameMethod, 1, func(data []byte) []byte { return append(data, noise...) }))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, used, err := readMessages(data)
		if used > len(data) {
			t.Fatal(used)
		}
		var fault *Fault
		if err != nil && !errors.As(err, &fault) {
			t.Fatal("error without a reply code:", err)
		}
		for _, message := range messages {
			if len(message.Body) > MaxBody {
				t.Fatal(len(message.Body))
			}
		}
	})
}
