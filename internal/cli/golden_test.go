package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/testing/golden"
	"brackendale/internal/testing/golden/commands"

	"github.com/urfave/cli/v3"
)

// The golden files hold the command line as operators use it. After an intended change,
// go test ./internal/cli -run Golden -update-golden rewrites them.

// Every command and flag, listed from the command tree that the program runs.
func TestGoldenCommands(t *testing.T) {
	golden.Check(t, "commands.txt", commands.List(Command()))
}

// run runs one command line and returns its output and its error.
func run(t *testing.T, input string, args ...string) string {
	t.Helper()
	command := Command()
	var out, notes bytes.Buffer
	command.Writer, command.ErrWriter, command.Reader = &out, &notes, strings.NewReader(input)
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(context.Background(), append([]string{"brackendale"}, args...))
	return fmt.Sprintf("> brackendale %s\n%s%sERROR: %v\n", strings.Join(args, " "), &out, &notes, err)
}

// The help of the program and of each command.
func TestGoldenHelp(t *testing.T) {
	var out strings.Builder
	out.WriteString(run(t, "", "--help"))
	var visit func(c *cli.Command, path []string)
	visit = func(c *cli.Command, path []string) {
		for _, sub := range c.Commands {
			if sub.Name == "help" || sub.SkipFlagParsing {
				continue
			}
			commandPath := append(append([]string(nil), path...), sub.Name)
			out.WriteString(run(t, "", append(commandPath, "--help")...))
			visit(sub, commandPath)
		}
	}
	visit(Command(), nil)
	golden.Check(t, "help.txt", out.String())
}

// writeFile creates a file in a test's folder and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// applianceText is a small appliance file.
const applianceText = `[amqp]
listen = "127.0.0.1:5672"
[[class]]
name = "safe"
effect = "repeatable"
aim_ms = 1000
deadline_ms = 60000
worth = 1
[[class]]
name = "key"
effect = "by_key"
aim_ms = 1000
deadline_ms = 60000
window_ms = 60000
worth = 1
[[class]]
name = "once"
effect = "once"
aim_ms = 1000
deadline_ms = 60000
worth = 1
[[route]]
name = "r"
dest = 1
proto = "http"
dial = "127.0.0.1:8081"
`

// The output of check for valid and invalid files, and of commands with valid and invalid arguments.
func TestGoldenOutputs(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("LB_STATE", dir)
	file := func(name, old, with string) string {
		return writeFile(t, dir, name, strings.Replace(applianceText, old, with, 1))
	}
	commandLines := [][]string{
		{"check", "--config", file("good.toml", "", "")},
		{"check", "--config", filepath.Join(dir, "nowhere.toml")},
		{"check", "--config", file("key.toml", "worth = 1", "worths = 1")},
		{"check", "--config", file("type.toml", "worth = 1", `worth = "x"`)},
		{"check", "--config", file("value.toml", "aim_ms = 1000", "aim_ms = 0")},
		{"check", "--config", file("text.toml", "[amqp]", "[amqp")},
		{"check"},
		{"check", "--confg", "x"},
		{"check", "--config"},
		{"explode"},
		{},
		{"version"},
		{"load", "x"},
		{"serve", "--restored", "--moved"},
		{"serve", "--config", filepath.Join(dir, "nowhere.toml")},
		{"console"},
		{"console", "--socket", filepath.Join(dir, "none")},
		{"control", "ready"},
		{"control", "--at", "x", "explode"},
		{"control", "--at", "x"},
		{"duties", "--socket", "x", "y"},
		{"duties"},
		{"duties", "--socket", filepath.Join(dir, "none")},
		{"duties", "--socket", "x", "hand", "a"},
		{"duties", "--socket", "x", "revoke"},
		{"members"},
		{"members", "--socket", filepath.Join(dir, "none")},
		{"drain", "--socket", filepath.Join(dir, "none")},
		{"group", "init", "--config", filepath.Join(dir, "good.toml")},
		{"group", "recover", "--config", filepath.Join(dir, "good.toml")},
		{"group", "join"},
		{"group", "leave", "--socket", filepath.Join(dir, "none")},
		{"import-nginx"},
		{"import-nginx", filepath.Join(dir, "nowhere.conf")},
		{"import-nginx", writeFile(t, dir, "n.conf", nginxText)},
		{"import-nginx", writeFile(t, dir, "bad.conf", "server { location /")},
		{"count", filepath.Join(dir, "nowhere")},
		{"count", writeFile(t, dir, "trace.txt", traceText)},
		{"recover"},
		{"recover", "--plan"},
		{"recover", "--plan", "--restored", "--moved", dir},
		{"keys", "show", "--dir", filepath.Join(dir, "keys")},
		{"keys", "server", "--dir", filepath.Join(dir, "keys"), "a"},
		{"keys", "client", "--dir", filepath.Join(dir, "keys"), "a"},
		{"keys", "revoke", "--dir", filepath.Join(dir, "keys"), "a"},
		{"keys", "init", "--dir", filepath.Join(dir, "keys")},
		{"keys", "init", "--dir", filepath.Join(dir, "keys")},
		{"keys", "server", "--dir", filepath.Join(dir, "keys"), "localhost", "127.0.0.1"},
		{"keys", "client", "--dir", filepath.Join(dir, "keys"), "lab"},
		{"keys", "client", "--dir", filepath.Join(dir, "keys")},
		{"keys", "revoke", "--dir", filepath.Join(dir, "keys"), filepath.Join(dir, "keys", "lab.pem")},
		{"keys", "show", "--dir", filepath.Join(dir, "keys")},
	}
	var out strings.Builder
	for _, args := range commandLines {
		out.WriteString(run(t, "", args...))
	}
	text := strings.ReplaceAll(out.String(), dir, "DIR")
	golden.Check(t, "answers.txt", golden.Mask(text, `/\S*/brackendale-load`, "PROGRAM",
		`\d{4}-\d\d-\d\d`, "DATE", `\d+ days left`, "N days left"))
}

const traceText = "trace 1000000 n a:i:safe:t:7:900 i:i:e:7:500\ntrace 1010000 n r:i:0:e:GOOD:0:\n"

const nginxText = `upstream u { server 127.0.0.1:8081; server 127.0.0.1:8082 down; }
server { listen 80; location /a { proxy_pass http://u; } }
`

// passwd prints a hash on one line. The hash differs in each run, so it is masked.
func TestGoldenPassword(t *testing.T) {
	hash := golden.Mask(run(t, "secret\n", "passwd"), `(\$2a\$\d\d\$)\S{53}`, "${1}HASH")
	golden.Check(t, "passwd.txt", hash+run(t, "", "passwd"))
}

// writeJournal creates a state folder with a message of each class in each state, and an expired message.
func writeJournal(t *testing.T, dir string) {
	t.Helper()
	file, err := journal.Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Steady()
	for _, class := range []string{"safe", "key", "once"} {
		for _, state := range []string{"new", "out", "ended", "heard"} {
			id := class + "-" + state
			file.Accept(&journal.Entry{
				ID: id, Class: class, Tenant: "t", Front: "f", Destination: 1, Key: map[string]string{"key": "k"}[class],
				Deadline: now.Add(clock.Microseconds(50e6)), Body: []byte("b"),
			})
			if state == "out" {
				file.StartAttempt(id, "z", now)
			}
			if state == "ended" || state == "heard" {
				file.SetFinalAnswer(id, "failed", 0)
			}
			if state == "heard" {
				file.Acknowledge(id)
			}
		}
	}
	file.Accept(&journal.Entry{
		ID: "late", Class: "safe", Front: "f", Destination: 1,
		Deadline: now.Add(clock.Microseconds(-50e6)),
	})
	if err := file.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// recover --plan with each of its flags, and for a folder that does not exist.
func TestGoldenRecover(t *testing.T) {
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	writeJournal(t, state)
	site := writeFile(t, dir, "site.toml", applianceText)
	var out strings.Builder
	for _, flags := range [][]string{
		nil,
		{"--all"},
		{"--json"},
		{"--json", "--restored"},
		{"--json", "--moved"},
		{"--all", "--restored"},
	} {
		out.WriteString(run(t, "", append(append([]string{"recover", "--plan", "--config", site}, flags...), state)...))
	}
	out.WriteString(run(t, "", "recover", "--plan", "--config", site, filepath.Join(dir, "nowhere")))
	text := strings.ReplaceAll(out.String(), dir, "DIR")
	golden.Check(t, "recover.txt", golden.Mask(text, ` {2,}`, "  ")) // columns are as wide as the folder's path is long
}
