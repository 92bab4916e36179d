package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

// The requests to the control address. Each name is also the last part of the request's path.
const (
	controlReady     = "ready"
	controlTelemetry = "telemetry"
	controlExclude   = "exclude"
	controlInclude   = "include"
	controlEvents    = "events"
)

// controlTimeout bounds a request to the control address.
const controlTimeout = 2 * time.Second

const errControlUsage = usageError("one of: ready, telemetry, exclude ID, include ID, events LEVEL")

func controlCommand() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "call a running sender's second address; a no ends with status 1",
		ArgsUsage: "ready | telemetry | exclude ID | include ID | events off|record|calls",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "at", Required: true,
			Usage: "the second `ADDRESS` (control, LB_CONTROL)",
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return sendControl(ctx, c.String("at"), c.Args().Slice(), c.Root().Writer)
		},
	}
}

// sendControl sends one request and prints the response. The error of a refused request has the status and the text of
// the response.
func sendControl(ctx context.Context, addr string, args []string, out io.Writer) error {
	method, body := http.MethodGet, []byte(nil)
	switch {
	case len(args) == 1 && (args[0] == controlReady || args[0] == controlTelemetry):
	case len(args) == 2 && (args[0] == controlExclude || args[0] == controlInclude || args[0] == controlEvents):
		method = http.MethodPost
		body, _ = json.Marshal(map[string]string{"target": args[1]}) // a string: cannot fail
	default:
		return errControlUsage
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api/"+args[0], bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("creating the request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("no response: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("incomplete response: %w", err)
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	}
	_, err = out.Write(text)
	return err
}
