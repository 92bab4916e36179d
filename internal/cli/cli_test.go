package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackendale/internal/admin"
	"brackendale/internal/config"
)

// The result of import-nginx is a valid configuration. An invalid input leaves the existing output file unchanged.
func TestImportedFileIsValid(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "n.conf"), filepath.Join(dir, "routes.toml")
	write := func(text string) {
		if err := os.WriteFile(in, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var std, warnings bytes.Buffer
	write("server { listen 1; location / { proxy_pass http://127.0.0.1:1; } }")
	if err := importNginx(in, out, &std, &warnings); err != nil ||
		!strings.Contains(warnings.String(), "n.conf:1: listen") {
		t.Fatal(err, warnings.String())
	}
	env := func(k string) string { return map[string]string{"LB_STATE": dir}[k] }
	c, err := config.Load(env, out)
	if err != nil || len(c.Endpoints.Hosts) != 1 {
		t.Fatal(c, err)
	}
	before, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	write("server { location /")
	if err := importNginx(in, out, &std, &warnings); err == nil {
		t.Fatal("an incomplete file was imported")
	}
	after, err := os.ReadFile(out)
	if err != nil || !bytes.Equal(before, after) {
		t.Fatal("the existing file changed", err)
	}
}

// version prints the version, and serve fails if the state folder does not exist.
func TestCommands(t *testing.T) {
	command := Command()
	var out bytes.Buffer
	command.Writer = &out
	if err := command.Run(context.Background(), []string{"brackendale", "version"}); err != nil ||
		!strings.Contains(out.String(), Version) {
		t.Fatal(err, out.String())
	}
	t.Setenv("LB_STATE", "/nowhere")
	if err := Command().Run(context.Background(),
		[]string{"brackendale", "serve", "--config", "../../deploy/appliance.toml"}); err == nil ||
		!strings.Contains(err.Error(), "LB_STATE") {
		t.Fatal(err)
	}
}

// The sub-command control sends each of the four requests, and a refusal is its error.
func TestControl(t *testing.T) {
	server, err := admin.Listen("127.0.0.1:0",
		func(w io.Writer) error { _, err := io.WriteString(w, "lb_in_progress 3\n"); return err }, "text/plain")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var changed []string
	server.SetReady(func() (bool, string) { return false, "stopping" },
		func(_ context.Context, target string, out bool) error {
			if target == "nobody" {
				return admin.ErrUnknownEndpoint
			}
			changed = append(changed, target)
			return nil
		})
	for _, test := range []struct {
		args            string
		output, errText string
	}{
		{"telemetry", "lb_in_progress 3", ""},
		{"ready", "", "503 Service Unavailable: stopping"},
		{"exclude e1", "done", ""},
		{"include e1", "done", ""},
		{"exclude nobody", "", "404 Not Found: no such endpoint was ever listed"},
		{"exclude", "", "one of"},
		{"nonsense x", "", "one of"},
	} {
		var out bytes.Buffer
		cmd := Command()
		cmd.Writer = &out
		err := cmd.Run(context.Background(), append([]string{"brackendale", "control", "--at", server.Addr().String()},
			strings.Fields(test.args)...))
		if (err == nil) != (test.errText == "") || err != nil && !strings.Contains(err.Error(), test.errText) ||
			!strings.Contains(out.String(), test.output) {
			t.Errorf("%s: %q, %v", test.args, out.String(), err)
		}
	}
	if len(changed) != 2 {
		t.Error(changed)
	}
}
