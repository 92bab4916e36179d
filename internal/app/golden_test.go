package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/golden"
	"brackendale/internal/testing/standin"
)

// metricsConfig is the configuration of an appliance that is the only member of its group. The addresses are the
// control address, the address of the ingress and the address in the group.
const metricsConfig = `control = %q
[limits]
sockets = 200
disk_mb = 16
[amqp]
listen = %q
[group]
name = "a"
listen = %q
members = ["a=%[3]s"]
[[duty]]
name = "nightly"
kind = "call"
url = "http://127.0.0.1:9/act"
every_ms = 3600000
longest_ms = 200
[[duty]]
name = "out"
kind = "return"
[[duty]]
name = "sixty"
kind = "limit"
dest = 1
per_s = 60
[[duty]]
name = "restarts"
kind = "roll"
[[duty]]
name = "journals"
kind = "verify"
every_ms = 3600000
longest_ms = 200
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000
deadline_ms = 9000
worth = 1
[[route]]
name = "partner"
dest = 1
proto = "http"
dial = "127.0.0.1:9"
`

// serveMetrics runs a sender with metricsConfig until the test ends, and returns its control address.
func serveMetrics(t *testing.T) string {
	t.Helper()
	var addrs [3]any
	for i := range addrs {
		addr, err := fleet.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = addr
	}
	dir := t.TempDir()
	t.Setenv("LB_STATE", dir)
	file := filepath.Join(dir, "a.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, metricsConfig, addrs[:]...), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, file, Options{}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addrs[0].(string)
}

// getTelemetry returns the metrics page of the control address, or an empty string if there is no response.
func getTelemetry(t *testing.T, addr string) string {
	t.Helper()
	response, err := http.Get("http://" + addr + "/api/telemetry")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s\nContent-Type: %s\n\n%s", response.Status, response.Header.Get("Content-Type"), text)
}

// Checks every metric that a member of a group serves: name, type, help and labels. The golden file has X in place of
// the values. After an intended change, go test ./internal/app -run Golden -update-golden rewrites it.
func TestGoldenMetrics(t *testing.T) {
	addr := serveMetrics(t)
	wanted := []string{
		`lb_group_epoch{duty="journals"}`, `lb_group_epoch{duty="nightly"}`, `lb_group_share{limit=`,
		`lb_life_start{case="new"}`,
	}
	for deadline := time.Now().Add(standin.Long); ; time.Sleep(10 * time.Millisecond) {
		text := getTelemetry(t, addr)
		missing := ""
		for _, line := range wanted {
			if !strings.Contains(text, line) {
				missing = line
			}
		}
		if missing == "" {
			golden.Check(t, "figures.txt", golden.Mask(text, `(?m)^([^#\n].*[a-z}]) [\d.e+-]+$`, "$1 X"))
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no %s in\n%s", missing, text)
		}
	}
}
