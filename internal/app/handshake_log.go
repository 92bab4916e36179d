package app

import (
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/net/reactor"

	"github.com/rs/zerolog"
)

// maxHandshakeLogsPerSecond limits the log lines of failed TLS handshakes; of further ones only the number is logged.
const maxHandshakeLogsPerSecond = 10

// handshakeLog logs failed TLS handshakes, a limited number per second. It is used on the event loop only.
type handshakeLog struct {
	log zerolog.Logger
	now func() time.Duration

	windowStart time.Duration
	logged      int // in the second since windowStart
	suppressed  int // in the second since windowStart
}

func (h *handshakeLog) report(failed *reactor.HandshakeError) {
	if now := h.now(); now-h.windowStart >= time.Second {
		if h.suppressed > 0 {
			h.log.Warn().Int("more", h.suppressed).Msg("tls refused")
		}
		h.windowStart, h.logged, h.suppressed = now, 0, 0
	}
	if h.logged++; h.logged > maxHandshakeLogsPerSecond {
		h.suppressed++
		return
	}
	reason, ours := certs.Explain(failed.Err)
	h.log.Warn().Str("peer", failed.Peer).Str("reason", reason).Bool("ours", ours).AnErr("cause", failed.Err).
		Msg("tls refused")
}
