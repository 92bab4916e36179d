package group

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rs/zerolog"
)

// maxRaftLinesPerSecond is how many of the raft library's log lines are kept per second: while a peer
// is unreachable, the library logs a line for each of its heartbeats.
const maxRaftLinesPerSecond = 2

// rateLimitedLogger writes the first maxRaftLinesPerSecond of the raft library's log lines in each
// second to the sender's log, and drops the others. Any goroutine may write to it.
type rateLimitedLogger struct {
	mu          sync.Mutex
	log         zerolog.Logger
	windowStart time.Time
	written     int // lines received in this window of one second
}

// Write writes or drops one line.
func (l *rateLimitedLogger) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written++; l.written <= maxRaftLinesPerSecond {
		l.log.Debug().Str("raft", string(bytes.TrimSpace(line))).Msg("group: message of the raft library")
	}
	return len(line), nil
}

// raftLogger returns the logger for the raft library.
func (g *Group) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:       hclog.Warn,
		Output:      &rateLimitedLogger{log: g.log},
		DisableTime: true,
	})
}
