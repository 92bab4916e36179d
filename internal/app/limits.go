package app

import (
	"fmt"
	"syscall"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/platform"

	"github.com/rs/zerolog"
)

// Shares of the configured memory limit.
const (
	// runtimeMemoryShare is the memory limit of the Go runtime. The rest is for stacks, the binary and files in $TMPDIR.
	runtimeMemoryShare = 0.7
	// unsentMemoryShare is for output buffered for peers that read slowly or not at all.
	unsentMemoryShare = 0.1
	// partialMemoryShare is for commands and frames of which a part has arrived.
	partialMemoryShare = 0.1
)

// partialMemoryLimit returns the limit on the memory of unfinished commands or frames of one front, in bytes.
func partialMemoryLimit(cfg config.Config) int {
	fronts := 0
	if cfg.Listen != "" || cfg.Resp.Listen != "" || cfg.AcceptFD > 0 {
		fronts++
	}
	if cfg.AMQP.Serves() {
		fronts++
	}
	return int(cfg.Limits.MemoryMB * partialMemoryShare * (1 << 20) / float64(max(1, fronts)))
}

// fitDescriptors checks the configured number of connections against the process's limit on open files. If it exceeds
// the limit, an appliance does not start; under the platform the number is lowered.
func fitDescriptors(cfg *config.Config, log zerolog.Logger) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("get the limit on open files: %w", err)
	}
	err := cfg.CheckDescriptors(limit.Cur)
	if err == nil || !onPlatform() {
		return err
	}
	log.Warn().Err(err).Msg("the limit on open files is below the configured connections: fewer connections are used")
	cfg.Limits.Sockets = int(limit.Cur)
	return nil
}

// clientLimits returns the limits of the client connections of an ingress. A RESP2 ingress that the platform
// configures has the platform's fixed limits.
func clientLimits(ingress string, cfg config.Config) conntable.Limits {
	maxConnections := cfg.ClientSockets()
	if ingress == platform.Front && cfg.Resp.Listen == "" {
		limits := platform.Limits(maxConnections)
		limits.MaxPerAddr = cfg.Clients.PerAddress
		return limits
	}
	limits := conntable.Limits{MaxConns: maxConnections, MaxPerAddr: cfg.Clients.PerAddress, PressureShare: 1}
	if ingress == platform.Front {
		preset := platform.Limits(maxConnections)
		limits.IdleGrace, limits.FirstFrameGrace = preset.IdleGrace, preset.FirstFrameGrace
		limits.FirstFrameTimeout = seconds(cfg.Resp.FirstTimeoutS)
		limits.FrameTimeout = seconds(cfg.Resp.CommandTimeoutS)
		limits.IdleTimeout = seconds(cfg.Resp.IdleTimeoutS)
		return limits
	}
	limits.FirstFrameTimeout = seconds(cfg.AMQP.FirstTimeoutS)
	limits.FrameTimeout = seconds(cfg.AMQP.FrameTimeoutS)
	limits.IdleTimeout = seconds(cfg.AMQP.IdleTimeoutS)
	return limits
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
