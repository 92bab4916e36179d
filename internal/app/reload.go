package app

import (
	"context"
	"os"
	"time"

	"brackendale/internal/config"

	"github.com/rs/zerolog"
)

// The timing of a reload. A configuration that cannot be read, or is only partly written, is read again.
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

// reload reads the configuration again and applies the settings that may change while the sender runs, such as the
// address of the registry, the configured routes and the connection limits. A file with errors changes nothing. It is
// read again until reloadTimeout, since no second signal follows if the file was being replaced during the first one;
// a further signal restarts the timeout.
func (inc *incarnation) reload(ctx context.Context) {
	cfg, err := loadAgain(inc.file, inc.log)
	if err != nil {
		inc.log.Warn().Err(err).Msg("reload: the configuration cannot be read: trying again")
	}
	for started := time.Now(); err != nil && time.Since(started) < reloadTimeout; cfg, err = loadAgain(inc.file, inc.log) {
		select {
		case <-time.After(reloadRetryInterval):
		case <-inc.signals.reload:
			started = time.Now()
		case <-ctx.Done():
			return
		}
	}
	if err != nil {
		inc.logRejectedReload(err)
		return
	}
	inc.options.Events.SetLevel(cfg.Events)
	inc.loop.Post(func() {
		if err := inc.transport.applyConfig(inc.core, cfg); err != nil {
			inc.logRejectedReload(err)
			return
		}
		inc.reloaded.Store(&cfg)
		warnOfExpiry(inc.log, cfg)
		inc.log.Info().Str("discovery", cfg.Discovery).Int("endpoints", len(cfg.Endpoints.Hosts)).Msg("reloaded")
	})
}

func (inc *incarnation) logRejectedReload(err error) {
	inc.log.Error().Err(err).Msg("reload: the configuration is rejected: the old one stays in effect")
}

// loadAgain reads the configuration again in a running process.
func loadAgain(file string, log zerolog.Logger) (config.Config, error) {
	cfg, err := config.Load(os.Getenv, file)
	if err == nil {
		err = fitDescriptors(&cfg, log)
	}
	return cfg, err
}
