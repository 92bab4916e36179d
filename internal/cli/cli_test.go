package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackendale/internal/config"
)

// The importer's result is one that the appliance serves; a fault leaves the old file as it was.
func TestImportIsServed(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "n.conf"), filepath.Join(dir, "routes.toml")
	write := func(text string) {
		if err := os.WriteFile(in, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var std, notes bytes.Buffer
	write("server { listen 1; location / { proxy_pass http://127.0.0.1:1; } }")
	if err := importNginx(in, out, &std, &notes); err != nil || !strings.Contains(notes.String(), "n.conf:1: listen") {
		t.Fatal(err, notes.String())
	}
	env := func(k string) string { return map[string]string{"LB_STATE": dir}[k] }
	c, err := config.Load(env, out)
	if err != nil || len(c.Known.Hosts) != 1 {
		t.Fatal(c, err)
	}
	before, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	write("server { location /")
	if err := importNginx(in, out, &std, &notes); err == nil {
		t.Fatal("half a file was taken")
	}
	after, err := os.ReadFile(out)
	if err != nil || !bytes.Equal(before, after) {
		t.Fatal("the old file was touched", err)
	}
}

func TestCommands(t *testing.T) {
	c := Command()
	var out bytes.Buffer
	c.Writer = &out
	if err := c.Run(context.Background(), []string{"brackendale", "version"}); err != nil || !strings.Contains(out.String(), Version) {
		t.Fatal(err, out.String())
	}
	t.Setenv("LB_STATE", "/nowhere")
	if err := Command().Run(context.Background(), []string{"brackendale", "serve", "--config", "../../deploy/appliance.toml"}); err == nil ||
		!strings.Contains(err.Error(), "LB_STATE") {
		t.Fatal(err)
	}
}
