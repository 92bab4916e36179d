package group

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// executionBody is the body of the HTTP request for an execution.
type executionBody struct {
	Duty      string `json:"duty"`
	Member    string `json:"member"`
	Epoch     uint64 `json:"epoch"`
	Execution uint64 `json:"act"`
}

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 10

// HTTPExecutor returns a Duty.Execute that sends each execution as one POST request to a URL of the
// operator. A status 2xx is success; 409 means that the receiver has recorded a newer epoch
// (ErrStaleEpoch). Each request uses a new connection, so that no bytes left over from an earlier
// response can be read as its response.
func HTTPExecutor(url string) func(context.Context, Execution) error {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, Proxy: nil},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, execution Execution) error {
		body, err := json.Marshal(executionBody{
			Duty: execution.Duty, Member: execution.Member, Epoch: execution.Epoch, Execution: execution.Number,
		})
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		switch {
		case response.StatusCode == http.StatusConflict:
			return ErrStaleEpoch
		case response.StatusCode/100 != 2:
			return &statusError{status: response.Status}
		}
		return err
	}
}

// statusError is a response to an execution whose status is neither 2xx nor 409.
type statusError struct{ status string }

func (e *statusError) Error() string { return "it answers " + e.status }
