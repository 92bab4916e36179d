package resp

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// encodeCommand returns the bytes of a command.
func encodeCommand(elements ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(elements))
	for _, element := range elements {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(element), element)
	}
	return out
}

func TestParse(t *testing.T) {
	big := strings.Repeat("x", MaxBulk)
	for _, test := range []struct {
		input    []byte
		elements int
		err      error
	}{
		{encodeCommand("PING"), 1, nil},
		{encodeCommand("SUBMIT", "0", "id", "c=a", "any \r\n$bytes\x00"), 5, nil},
		{encodeCommand("SUBMIT", "0", "id", "c=a", big), 5, nil},
		{encodeCommand("SUBMIT", "0", "id", "c=a", ""), 5, nil},
		{encodeCommand("SUBMIT", big+"x"), 0, ErrTooLong},
		{encodeCommand("SUBMIT", big, big), 0, ErrTooLong},
		{[]byte("PING\r\n"), 0, ErrProtocol},
		{[]byte("*1\r\n:4\r\n"), 0, ErrProtocol},
		{[]byte("*1\r\n$1\r\nabc"), 0, ErrProtocol},
		{[]byte("*0\r\n"), 0, ErrLength},
		{[]byte("*99\r\n"), 0, ErrLength},
		{[]byte("*1\r\n$-1\r\n"), 0, ErrLength},
		{[]byte("*1\r\n$+1\r\n"), 0, ErrLength},
		{[]byte("*1\n"), 0, ErrLength},
		{[]byte("*12345678901234"), 0, ErrLength},
	} {
		elements, used, err := Parse(test.input, nil)
		same := err == test.err //nolint:errorlint // the parser returns the error itself, not a wrapped one
		if !same || err == nil && (used != len(test.input) || len(elements) != test.elements) {
			t.Errorf("%.40q: %d elements, %d bytes read, %v", test.input, len(elements), used, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	rng := rand.New(rand.NewSource(2))
	valid := encodeCommand("SUBMIT", "0", "9b1f", "c=notice,t=acme,d=8000,dest=7", "a body\r\n")
	for range 30 {
		f.Add(valid[:rng.Intn(len(valid)+1)], uint16(rng.Intn(99)))
		noise := make([]byte, rng.Intn(60))
		rng.Read(noise)
		f.Add(append([]byte("*"), noise...), uint16(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, length uint16) {
		elements, used, err := Parse(data, nil)
		if used < 0 || used > len(data) || err != nil && used != 0 {
			t.Fatal(used, err)
		}
		if used == 0 {
			return
		}
		var texts []string
		for _, element := range elements {
			texts = append(texts, string(element))
		}
		// The encoded elements parse to the same elements, and a part of a command is never a complete one.
		again, usedAgain, err := Parse(encodeCommand(texts...), nil)
		if err != nil || usedAgain == 0 || len(again) != len(elements) ||
			!bytes.Equal(bytes.Join(again, nil), bytes.Join(elements, nil)) {
			t.Fatal(again, err)
		}
		if _, usedOfPart, _ := Parse(data[:int(length)%used], nil); usedOfPart != 0 {
			t.Fatal("part of a command was parsed as a complete one")
		}
	})
}
