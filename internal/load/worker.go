package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Worker reads a plan as JSON from in and runs it. It writes messages to out, one per line: the number of open
// connections, and Ready once a step's connections are open. It then waits for a line on in before it measures the
// step. The last message is the report with its distributions.
func Worker(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	raw, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("load: reading the plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return fmt.Errorf("load: reading the plan: %w", err)
	}
	p.Sources = Sources(8)
	enc := json.NewEncoder(out)
	p.Progress = func(open, _ int) { _ = enc.Encode(message{Open: open}) }
	p.Gate = func() error {
		if err := enc.Encode(message{Ready: true}); err != nil {
			return fmt.Errorf("reporting that the step is ready: %w", err)
		}
		_, err := lines.ReadBytes('\n')
		return err
	}
	rep, err := Run(ctx, p)
	if err != nil {
		return err
	}
	for i := range rep.Steps {
		s := &rep.Steps[i]
		if s.AcceptedHist, err = s.accepted.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
			return fmt.Errorf("load: %w", err)
		}
		if s.AnsweredHist, err = s.answered.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
			return fmt.Errorf("load: %w", err)
		}
	}
	if err := enc.Encode(message{Report: &rep}); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// message is one line that a worker writes.
type message struct {
	Open   int     `json:"open,omitempty"`
	Ready  bool    `json:"ready,omitempty"`
	Report *Report `json:"report,omitempty"`
}

var errWorkerEnded = errors.New("load: a worker ended before its report")

// Sources returns n loopback addresses to dial from, starting at 127.0.0.2.
func Sources(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("127.0.0.%d", i+2)
	}
	return list
}
