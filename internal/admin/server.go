// Package admin serves the HTTP/1.1 admin interface at the control address, for operators and the platform: readiness,
// metrics and the exclusion of endpoints, one request per connection. It runs on its own goroutines and does not wait
// for the queues of the core and the event loop, except until an exclusion is recorded.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The limits of a request.
const (
	maxPendingConns    = 16      // connections without a complete request
	maxBodyBytes       = 4 << 10 // of a request's body
	maxHeaderBytes     = 8 << 10 // of a request's header, approximately
	maxEndpointIDBytes = 255

	readTimeout  = 5 * time.Second // from the connection to the last byte of its request
	writeTimeout = 5 * time.Second // for the client to read the response
	// excludeTimeout bounds an exclusion. Clients wait 1 s for the response.
	excludeTimeout = 900 * time.Millisecond
)

// ErrUnknownEndpoint is the error of exclude for an endpoint that was never in the endpoint list.
var ErrUnknownEndpoint = errors.New("no such endpoint was ever listed")

// Server serves the admin interface. It is safe for concurrent use.
type Server struct {
	listener      net.Listener
	http          *http.Server
	writeMetrics  func(io.Writer) error
	metricsFormat string // the media type of the metrics

	core          atomic.Pointer[core]                                          // nil: the process is starting
	setEventLevel atomic.Pointer[func(ctx context.Context, level string) error] // nil: the process is starting

	starting atomic.Pointer[string] // the reason for not being ready until then; nil: "starting"
	pending  pendingConns
}

// core has the functions of a sender's core that the requests need.
type core struct {
	ready   func() (ok bool, reason string)
	exclude func(ctx context.Context, endpoint string, excluded bool) error
}

// Listen serves requests at addr until Close: the metrics at once, the others once SetReady has been called.
// writeMetrics writes the metrics in the media type metricsFormat.
func Listen(addr string, writeMetrics func(io.Writer) error, metricsFormat string) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return serve(listener, writeMetrics, metricsFormat), nil
}

func serve(listener net.Listener, writeMetrics func(io.Writer) error, metricsFormat string) *Server {
	s := &Server{listener: listener, writeMetrics: writeMetrics, metricsFormat: metricsFormat}
	s.http = &http.Server{
		Handler:        s.handler(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false)
	go func() { _ = s.http.Serve(&boundedListener{Listener: listener, pending: &s.pending}) }()
	return s
}

// SetReady connects the server to a core. ready reports whether this process accepts messages and, if not, the reason.
// exclude excludes an endpoint or includes it again, and returns once that is durable.
func (s *Server) SetReady(ready func() (ok bool, reason string),
	exclude func(ctx context.Context, endpoint string, excluded bool) error,
) {
	s.core.Store(&core{ready, exclude})
}

// SetEventLevel connects the server to the record of events. set changes its level.
func (s *Server) SetEventLevel(set func(ctx context.Context, level string) error) {
	s.setEventLevel.Store(&set)
}

// SetStarting sets the reason for not being ready that clients receive until SetReady.
func (s *Server) SetStarting(reason string) { s.starting.Store(&reason) }

func (s *Server) startingReason() string {
	if reason := s.starting.Load(); reason != nil {
		return *reason
	}
	return "starting"
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
