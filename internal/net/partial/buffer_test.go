package partial

import (
	"bytes"
	"testing"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "100") }

// Frames of a length byte and that many bytes arrive in reads that end anywhere: each frame is reassembled in order,
// while other users take buffers from the pools, and an empty buffer holds no memory.
func TestReadsEndAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, got, stream []byte
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 255), 1, 40).Draw(t, "frames") {
			stream = append(stream, byte(n))
			for i := range n {
				stream, sent = append(stream, byte(n+i)), append(sent, byte(n+i))
			}
		}
		var buffer Buffer
		for len(stream) > 0 {
			n := min(len(stream), rapid.IntRange(1, 700).Draw(t, "read"))
			read := append(Get(n), stream[:n]...)
			stream = stream[n:]
			unparsed := buffer.Append(read)
			for len(unparsed) > 0 && len(unparsed) > int(unparsed[0]) {
				got = append(got, unparsed[1:1+int(unparsed[0])]...)
				unparsed = unparsed[1+int(unparsed[0]):]
			}
			if buffer.Store(unparsed); buffer.Len() == 0 && buffer.data != nil {
				t.Fatal("an empty buffer holds memory")
			}
			clear(read) // the reader reuses its buffer
			Put(read)
			other := append(Get(300), bytes.Repeat([]byte{0xEE}, 300)...)
			Put(other)
		}
		if !bytes.Equal(got, sent) || buffer.Len() != 0 {
			t.Fatal("bytes were lost or changed")
		}
	})
}
