package group

import (
	"errors"
	"net"
	"testing"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// A member hung in its end: the raft library waited for a pipeline of requests to a member whose responses were no
// longer read.
func TestStopWaitsForAPipeline(t *testing.T) {
	g := New(Options{Name: "a", Terms: lease.Terms{Length: 1e9}, Log: zerolog.Nop()})
	stream := &streamLayer{group: g, accepted: make(chan net.Conn), closed: make(chan struct{})}
	transport := g.newTransport(stream)
	defer transport.Close()
	pipeline, err := transport.AppendEntriesPipeline("b", "b")
	if !errors.Is(err, raft.ErrPipelineReplicationNotSupported) {
		t.Errorf("a pipeline %v is opened: %v", pipeline, err)
	}
}
