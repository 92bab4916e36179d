package config

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/settings"
	"brackendale/internal/testing/golden"

	"github.com/BurntSushi/toml"
)

// The golden files hold the names that operators write: keys, variables and the texts of errors. After a change that is
// meant, go test ./internal/config -run Golden -update-golden writes them anew.

// Every key of the platform's file and of the appliance's file.
func TestGoldenKeys(t *testing.T) {
	golden.Check(t, "keys.json.txt", golden.Fields(reflect.TypeFor[platformFile](), "json"))
	golden.Check(t, "keys.toml.txt", golden.Fields(reflect.TypeFor[file](), "toml"))
}

// Every environment variable that the repository's programs name.
func TestGoldenEnvironment(t *testing.T) {
	variable := regexp.MustCompile(`^(LB|BRACKENDALE)_[A-Z_]+$`)
	found := map[string]bool{}
	for _, path := range sources(t) {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				if text, err := strconv.Unquote(l.Value); err == nil && variable.MatchString(text) {
					found[text] = true
				}
			}
			return true
		})
	}
	golden.Check(t, "environment.txt", strings.Join(slices.Sorted(maps.Keys(found)), "\n")+"\n")
}

// sources lists the repository's Go files but for tests.
func sources(t *testing.T) (list []string) {
	t.Helper()
	root := filepath.Join("..", "..")
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		t.Fatalf("the package is no longer two folders below the module's root: %v", err)
	}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata"):
			return fs.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			list = append(list, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// siteKeys makes the files of keys that the full file names.
func siteKeys(t *testing.T, dir string) {
	t.Helper()
	s, err := certs.CreateAuthority(dir, "site", 100, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.IssueServer([]string{"server"}, 90); err != nil {
		t.Fatal(err)
	}
	if _, err := s.IssueClient("client", 90); err != nil {
		t.Fatal(err)
	}
}

// Two files set every key of the appliance together (some exclude each other), and what they are read as stays the
// same.
func TestGoldenFullFiles(t *testing.T) {
	known := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[file](), "toml")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		known[strings.NewReplacer("(omitempty)", "", "[]", "").Replace(name)] = true
	}
	for _, name := range []string{"full", "platform-like"} {
		dir := t.TempDir()
		siteKeys(t, filepath.Join(dir, "keys"))
		raw, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, "appliance.toml")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(func(string) string { return "" }, path)
		if err == nil || !strings.Contains(err.Error(), "LB_STATE") {
			t.Errorf("%s: its state is no folder, and %v", name, err)
		}
		c, err = Load(func(key string) string { return map[string]string{"LB_STATE": dir}[key] }, path)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".config.txt", strings.ReplaceAll(dump(t, &c), dir, "DIR"))
		var f file
		md, err := toml.DecodeFile(path, &f)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range md.Keys() {
			delete(known, k.String())
		}
	}
	if len(known) > 0 {
		t.Errorf("no full file sets %v", slices.Sorted(maps.Keys(known)))
	}
}

// The platform's file with every key, as it is read.
func TestGoldenFullPlatform(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := load(t, string(raw), "", map[string]string{"LB_ACCEPT_FD": "7", "LB_NAME": "other"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "platform.config.txt", strings.ReplaceAll(dump(t, &c), c.State, "DIR"))
	var text map[string]any
	if err := json.Unmarshal(raw, &text); err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[platformFile](), "json")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		if !has(text, strings.Split(name, ".")) {
			t.Errorf("the full file does not set %s", name)
		}
	}
}

// has tells whether a decoded text has a key; a list counts by its first entry.
func has(v any, path []string) bool {
	if len(path) == 0 {
		return true
	}
	m, ok := v.(map[string]any)
	if !ok {
		return false
	}
	name, isList := strings.CutSuffix(path[0], "[]")
	next, ok := m[name]
	if !ok || !isList {
		return ok && has(next, path[1:])
	}
	list, ok := next.([]any)
	return ok && len(list) > 0 && has(list[0], path[1:])
}

// dump writes a configuration by the names that files use, not by those of the code. Parts that no file names have
// words here.
func dump(t *testing.T, c *Config) string {
	t.Helper()
	var out strings.Builder
	show(&out, "json", reflect.ValueOf(platformOf(c)), "json")
	for _, part := range []struct {
		name  string
		value any
	}{
		{"state", c.State},
		{"accept_fd", c.AcceptFD},
		{"upgrade", c.Upgrade},
		{"amqp", c.AMQP},
		{"clients", c.Clients},
		{"resp", c.Resp},
		{"console", c.Console},
		{"group", c.Group},
		{"group.voters", c.Group.Voters},
		{"group.duties", c.Group.Duties},
		{"group.there", c.Group.Is()},
		{"client_sockets", c.ClientSockets()},
		{"target_sockets", c.TargetSockets()},
		{"journal_mb", c.JournalMB()},
		{"amqp.serves", c.AMQP.Serves()},
		{"tls.server", c.Secure.Server != nil},
		{"tls.targets", slices.Sorted(maps.Keys(c.Secure.Targets))},
	} {
		show(&out, part.name, reflect.ValueOf(part.value), "toml")
	}
	for i, h := range c.Known.Hosts {
		fmt.Fprintf(&out, "host[%d].proto = %q\n", i, h.Proto)
	}
	if c.Policy == nil {
		return out.String()
	}
	for _, h := range c.Policy.Hosts() {
		fmt.Fprintf(&out, "policy host %q exchange %q to %v with %d permissions\n", h.Name, h.Exchange, h.Destinations,
			len(h.Permissions))
	}
	fmt.Fprintf(&out, "policy open = %v\n", c.Policy.IsOpen())
	return out.String()
}

// show writes a value, a line for each part of it.
func show(out *strings.Builder, path string, v reflect.Value, tag string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get(tag), ",")
			if name != "" && name != "-" {
				show(out, path+"."+name, v.Field(i), tag)
			}
		}
	case reflect.Slice:
		fmt.Fprintf(out, "%s has %d\n", path, v.Len())
		for i := range v.Len() {
			show(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i), tag)
		}
	case reflect.String:
		fmt.Fprintf(out, "%s = %q\n", path, v)
	default:
		fmt.Fprintf(out, "%s = %v\n", path, v)
	}
}

// A value of another kind at each key of the platform's file: the error names the key.
func TestGoldenErrorsOfTypes(t *testing.T) {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[platformFile](), "json")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		text := wrong(strings.Split(name, "."))
		_, err := load(t, text, "", nil)
		fmt.Fprintf(&out, "%s\n  %v\n", text, err)
	}
	golden.Check(t, "errors.json.txt", out.String())
}

// wrong is a text that has an object where a plain value belongs.
func wrong(path []string) string {
	if len(path) == 0 {
		return "{}"
	}
	name, list := strings.CutSuffix(path[0], "[]")
	inner := wrong(path[1:])
	if list {
		inner = "[" + inner + "]"
	}
	return fmt.Sprintf("{%q:%s}", name, inner)
}

// Values out of range, in each file: the error's whole text.
func TestGoldenErrorsOfValues(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "full.toml"))
	if err != nil {
		t.Fatal(err)
	}
	platform, err := os.ReadFile(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	siteKeys(t, filepath.Join(dir, "keys"))
	var out strings.Builder
	try := func(file, old, with, text string) {
		if strings.Count(text, old) == 0 {
			t.Fatalf("%s has no %s", file, old)
		}
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, []byte(strings.Replace(text, old, with, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"LB_STATE": dir}
		if file == "full.json" {
			env["LB_CONFIG"], path = path, ""
		}
		_, err := Load(func(key string) string { return env[key] }, path)
		fmt.Fprintf(&out, "%s: %s -> %s\n  %v\n", file, old, with, err)
	}
	list, err := os.ReadFile(filepath.Join("testdata", "bad.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(list)), "\n") {
		file, change, _ := strings.Cut(line, ": ")
		old, with, ok := strings.Cut(strings.ReplaceAll(change, `\n`, "\n"), " -> ")
		text := map[string]string{"full.toml": string(raw), "full.json": string(platform)}[file]
		if !ok || text == "" {
			t.Fatalf("not of the form FILE: OLD -> NEW: %s", line)
		}
		try(file, old, with, text)
	}
	golden.Check(t, "errors.values.txt", strings.ReplaceAll(out.String(), dir, "DIR"))
}

// platformOf is the configuration in the form of the platform's file.
func platformOf(c *Config) platformFile {
	return platformFile{
		Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Control: c.Control,
		Seed: c.Seed, Limits: c.Limits, Known: c.Known, Settings: settings.Wire(&c.Settings),
	}
}
