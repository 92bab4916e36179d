package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"brackendale/internal/testing/golden"
)

// runMainEnv is the environment variable that makes the test binary run main instead of the tests.
const runMainEnv = "BRACKENDALE_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		_ = os.Unsetenv(runMainEnv)
		main()
		return
	}
	os.Exit(m.Run())
}

// run runs the program with dir as its state folder and returns its exit status, standard output and standard error.
func run(t *testing.T, dir string, args ...string) string {
	t.Helper()
	program := exec.Command(os.Args[0], args...)
	program.Env = []string{runMainEnv + "=1", "LB_STATE=" + dir}
	var stdout, stderr bytes.Buffer
	program.Stdout, program.Stderr = &stdout, &stderr
	err := program.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return fmt.Sprintf("> brackendale %s\nstatus %d\n%s--- standard error\n%s", strings.Join(args, " "),
		program.ProcessState.ExitCode(), &stdout, &stderr)
}

const validConfig = `[amqp]
listen = "127.0.0.1:5672"
[[class]]
name = "a"
effect = "once"
aim_ms = 1
deadline_ms = 2
worth = 1
[[route]]
name = "r"
dest = 1
proto = "http"
dial = "127.0.0.1:8081"
`

// TestGoldenStatus compares the exit status and outputs of the program, for valid and invalid configuration files and
// for valid and unknown commands. After an intended change, go test ./cmd/brackendale -run Golden -update-golden
// regenerates the golden file.
func TestGoldenStatus(t *testing.T) {
	dir := t.TempDir()
	var out strings.Builder
	for _, c := range []struct{ name, old, replacement string }{
		{"good", "", ""},
		{"key", "worth", "worths"},
		{"type", "worth = 1", `worth = "x"`},
		{"value", "aim_ms = 1", "aim_ms = 0"},
		{"text", "[amqp]", "[amqp"},
		{"route", `"http"`, `"ftp"`},
	} {
		path := filepath.Join(dir, c.name+".toml")
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, c.old, c.replacement, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		out.WriteString(run(t, dir, "check", "--config", path))
	}
	out.WriteString(run(t, filepath.Join(dir, "nowhere"), "check", "--config", filepath.Join(dir, "good.toml")))
	for _, args := range [][]string{
		{"check", "--config", filepath.Join(dir, "nowhere.toml")},
		{"check", "--confg"},
		{"version"},
		{"explode"},
		{},
		{"--help"},
		{"serve", "--config", filepath.Join(dir, "key.toml")},
		{"control", "--at", "x"},
		{"console"},
	} {
		out.WriteString(run(t, dir, args...))
	}
	golden.Check(t, "status.txt", strings.ReplaceAll(out.String(), dir, "DIR"))
}
