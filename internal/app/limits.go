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
	// runtimeMemoryShare is for what the runtime counts. The rest is for stacks, the binary and files in $TMPDIR.
	runtimeMemoryShare = 0.7
	// unsentMemoryShare is for bytes that wait for peers that do not read.
	unsentMemoryShare = 0.1
)

// fitDescriptors checks the configured number of connections against the process's limit on open files. An appliance
// that asks for more does not start; on the platform fewer are used.
func fitDescriptors(cfg *config.Config, log zerolog.Logger) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit on open files: %w", err)
	}
	err := cfg.Descriptors(limit.Cur)
	if err == nil || !onPlatform() {
		return err
	}
	log.Warn().Err(err).Msg("the limit on open files is below the configured connections: fewer are used")
	cfg.Limits.Sockets = int(limit.Cur)
	return nil
}

// clientLimits are the limits of one ingress's client connections. A RESP2 ingress that the platform configures keeps
// the platform's.
func clientLimits(ingress string, cfg config.Config) conntable.Limits {
	most := cfg.ClientSockets()
	if ingress == platform.Front && cfg.Resp.Listen == "" {
		limits := platform.Limits(most)
		limits.MaxPerAddr = cfg.Clients.PerAddress
		return limits
	}
	limits := conntable.Limits{MaxConns: most, MaxPerAddr: cfg.Clients.PerAddress, PressureShare: 1}
	if ingress == platform.Front {
		preset := platform.Limits(most)
		limits.IdleGrace, limits.FirstFrameGrace = preset.IdleGrace, preset.FirstFrameGrace
		limits.FirstFrameTimeout = seconds(cfg.Resp.FirstS)
		limits.FrameTimeout = seconds(cfg.Resp.CommandS)
		limits.IdleTimeout = seconds(cfg.Resp.IdleS)
		return limits
	}
	limits.FirstFrameTimeout = seconds(cfg.AMQP.FirstS)
	limits.FrameTimeout = seconds(cfg.AMQP.FrameS)
	limits.IdleTimeout = seconds(cfg.AMQP.IdleS)
	return limits
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
