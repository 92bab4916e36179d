package app

import (
	"context"
	"os"
	"time"

	"brackendale/internal/config"

	"github.com/rs/zerolog"
)

// The times of a reload. A configuration that cannot be read, or is only half written, is read again.
const (
	reloadTimeout       = 3 * time.Second
	reloadRetryInterval = 50 * time.Millisecond
)

// reloadOnSignal reloads the configuration at each SIGHUP until ctx ends.
func (inc *incarnation) reloadOnSignal(ctx context.Context) {
	for {
		select {
		case <-inc.signals.reload:
			inc.reload(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration again and applies what may change under a running sender: the registry's address or
// the appliance's own routes. A bad file changes nothing. It is read again until reloadTimeout, since nobody signals
// twice for a file that was being replaced; another signal starts that time anew.
func (inc *incarnation) reload(ctx context.Context) {
	cfg, err := loadAgain(inc.file, inc.log)
	if err != nil {
		inc.log.Warn().Err(err).Msg("reload: the configuration cannot be read: it is read again shortly")
	}
	for began := time.Now(); err != nil && time.Since(began) < reloadTimeout; cfg, err = loadAgain(inc.file, inc.log) {
		select {
		case <-time.After(reloadRetryInterval):
		case <-inc.signals.reload:
			began = time.Now()
		case <-ctx.Done():
			return
		}
	}
	if err != nil {
		inc.logRejectedReload(err)
		return
	}
	inc.loop.Post(func() {
		if err := inc.transport.applyConfig(inc.core, cfg); err != nil {
			inc.logRejectedReload(err)
			return
		}
		warnOfExpiry(inc.log, cfg)
		inc.log.Info().Str("discovery", cfg.Discovery).Int("endpoints", len(cfg.Endpoints.Hosts)).Msg("reloaded")
	})
}

func (inc *incarnation) logRejectedReload(err error) {
	inc.log.Error().Err(err).Msg("reload: the configuration is rejected: the old one stays in force")
}

// loadAgain reads the configuration of a process that serves.
func loadAgain(file string, log zerolog.Logger) (config.Config, error) {
	cfg, err := config.Load(os.Getenv, file)
	if err == nil {
		err = fitDescriptors(&cfg, log)
	}
	return cfg, err
}
