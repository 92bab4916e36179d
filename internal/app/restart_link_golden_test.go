package app

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"brackendale/internal/testing/standin"
)

// TestLinkGolden passes each golden message of package hotrestart through a link in both directions: the link reads it
// from the bytes of the file, and writes the same bytes again.
func TestLinkGolden(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "hotrestart", "testdata", "golden", "*.jsonl"))
	if err != nil || len(files) < 12 {
		t.Fatalf("%d golden files, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if got := relayThroughLink(t, want); !bytes.Equal(got, want) {
				t.Errorf("the link writes\n%s, want\n%s", got, want)
			}
		})
	}
}

// relayThroughLink makes a link receive messages and send them again, and returns the bytes that it wrote.
func relayThroughLink(t *testing.T, data []byte) []byte {
	t.Helper()
	near, far := net.Pipe()
	link := newRestartLink(near)
	defer link.close()
	defer far.Close()
	go func() { _, _ = far.Write(data) }()
	for range bytes.Count(data, []byte("\n")) {
		msg, err := link.receive(standin.Long)
		if err != nil {
			t.Fatal(err)
		}
		link.send(msg)
	}
	got := make([]byte, len(data))
	n, err := io.ReadFull(far, got)
	if err != nil {
		t.Error(err)
	}
	return got[:n]
}

// TestRestartSocketName checks the name of the socket, by which processes of all versions find each other.
func TestRestartSocketName(t *testing.T) {
	path, release, err := restartSocketPath("/state")
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if path != "/state/upgrade.sock" {
		t.Errorf("the path of the restart socket is %s", path)
	}
}
