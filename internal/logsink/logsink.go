// Package logsink writes a log without ever waiting for its reader: lines that the reader does not take in time are
// dropped and counted. A sender must not stand still because nobody reads what it logs.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// maxPending is the number of lines that may wait for the reader.
const maxPending = 4096

// Sink is an io.Writer of log lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64 // since the start
	told    uint64        // how many of them were written as a line

	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{} // closed when all lines were written after the begin of Close
}

// New returns a Sink that writes to out, on a goroutine of its own.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, maxPending), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write takes a line, or drops it if maxPending lines wait. It does not wait and does not fail.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close waits until the lines that were taken are written, up to timeout. Later ones may be lost.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes lines until Close.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// drain writes the lines that were taken so far.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line, and how many were dropped since the last time that some were.
func (s *Sink) write(line []byte) {
	_, _ = s.out.Write(line)
	if dropped := s.dropped.Load(); dropped > s.told {
		log := zerolog.New(s.out).With().Timestamp().Logger()
		log.Warn().Uint64("lines", dropped-s.told).Msg("log lines were dropped, since the log was not read in time")
		s.told = dropped
	}
}
