package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
)

// handler routes the requests. The mux itself responds with 404 and 405.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", s.serveReady)
	mux.HandleFunc("GET /api/telemetry", s.serveMetrics)
	mux.HandleFunc("POST /api/exclude", func(w http.ResponseWriter, r *http.Request) { s.serveExclude(w, r, true) })
	mux.HandleFunc("POST /api/include", func(w http.ResponseWriter, r *http.Request) { s.serveExclude(w, r, false) })
	mux.HandleFunc("POST /api/events", s.serveEvents)
	return mux
}

// serveEvents changes the level of the record of events.
func (s *Server) serveEvents(writer http.ResponseWriter, request *http.Request) {
	level, err := readEndpoint(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writeText(writer, err.status, err.text)
		return
	}
	set := s.setEventLevel.Load()
	if set == nil {
		writeText(writer, http.StatusServiceUnavailable, s.startingReason())
		return
	}
	if err := (*set)(request.Context(), level); err != nil {
		writeText(writer, http.StatusBadRequest, err.Error())
		return
	}
	writeText(writer, http.StatusOK, "done")
}

func (s *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ok, reason := false, s.startingReason()
	if c := s.core.Load(); c != nil {
		ok, reason = c.ready()
	}
	if !ok {
		writeText(writer, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(writer, http.StatusOK, "ready")
}

func (s *Server) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	if err := s.writeMetrics(&text); err != nil {
		writeText(writer, http.StatusInternalServerError, err.Error())
		return
	}
	writer.Header().Set("Content-Type", s.metricsFormat)
	_, _ = writer.Write(text.Bytes())
}

// serveExclude excludes an endpoint, or includes it again.
func (s *Server) serveExclude(writer http.ResponseWriter, request *http.Request, excluded bool) {
	endpoint, err := readEndpoint(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writeText(writer, err.status, err.text)
		return
	}
	c := s.core.Load()
	if c == nil {
		writeText(writer, http.StatusServiceUnavailable, s.startingReason())
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), excludeTimeout)
	defer cancel()
	switch err := c.exclude(ctx, endpoint, excluded); {
	case errors.Is(err, ErrUnknownEndpoint):
		writeText(writer, http.StatusNotFound, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		writeText(writer, http.StatusServiceUnavailable, "not done yet: call again")
	case err != nil:
		writeText(writer, http.StatusServiceUnavailable, err.Error())
	default:
		writeText(writer, http.StatusOK, "done")
	}
}

// requestError is the response to a request with an invalid body.
type requestError struct {
	status int // the HTTP status
	text   string
}

// readEndpoint reads the endpoint's id from the body of a request, {"target":"ID"}.
func readEndpoint(body io.Reader) (string, *requestError) {
	raw, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return "", &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", &requestError{http.StatusRequestTimeout, "the body did not come in time"}
	case err != nil:
		return "", &requestError{http.StatusBadRequest, "the body broke off"}
	}
	var request struct {
		Target *string `json:"target"`
	}
	if err := json.Unmarshal(raw, &request); err != nil {
		return "", &requestError{http.StatusBadRequest, `the body must be JSON as {"target":"ID"}`}
	}
	if request.Target == nil || *request.Target == "" || len(*request.Target) > maxEndpointIDBytes {
		return "", &requestError{http.StatusBadRequest, "target must name an endpoint, with 255 bytes at most"}
	}
	return *request.Target, nil
}

// writeText responds with one line of plain text.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
