package logsink

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A reader of the log that falls silent holds up whoever logs, and lines vanish without a word.
func TestSilentReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	sink := New(writer)
	const lines = 3 * maxPending
	padding := strings.Repeat("x", 100)
	for i := range lines {
		fmt.Fprintf(sink, "%d %s\n", i, padding)
	}
	if sink.Dropped() < lines-2*maxPending {
		t.Errorf("%d lines were dropped", sink.Dropped())
	}
	sink.Close(time.Millisecond) // the reader is still silent
	read := make(chan []byte)
	go func() {
		var all bytes.Buffer
		_, _ = all.ReadFrom(reader)
		read <- all.Bytes()
	}()
	sink.Close(time.Minute)
	_ = writer.Close()
	all := string(<-read)
	told := uint64(0) // in one line or several
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(all, -1) {
		count, _ := strconv.ParseUint(match[1], 10, 64)
		told += count
	}
	if told != sink.Dropped() {
		t.Errorf("the log says that %d lines were dropped, and %d were", told, sink.Dropped())
	}
	if written := strings.Count(all, padding); written+int(sink.Dropped()) != lines {
		t.Errorf("%d lines were written and %d dropped, of %d", written, sink.Dropped(), lines)
	}
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out)
	want := ""
	for i := range maxPending {
		line := fmt.Sprintln("line", i)
		want += line
		_, _ = sink.Write([]byte(line))
	}
	sink.Close(time.Minute)
	if out.String() != want {
		t.Error("lines are missing or in another order")
	}
}
