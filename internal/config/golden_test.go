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

// The golden files hold the names that operators use: keys, environment variables and error messages. After an
// intended change, go test ./internal/config -run Golden -update-golden rewrites them.

// Every key of the platform's file and of an appliance's file.
func TestGoldenKeys(t *testing.T) {
	golden.Check(t, "keys.json.txt", golden.Fields(reflect.TypeFor[platformFile](), "json"))
	golden.Check(t, "keys.toml.txt", golden.Fields(reflect.TypeFor[applianceFile](), "toml"))
}

// Every environment variable that the repository's programs read.
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

// sources returns the paths of the repository's Go files except tests.
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

// makeSiteKeys creates the key and certificate files that full.toml names.
func makeSiteKeys(t *testing.T, dir string) {
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

// Two files, full.toml and platform-like.toml, together set every key of an appliance's file (some keys exclude each
// other). The golden files hold the configurations that result.
func TestGoldenFullFiles(t *testing.T) {
	known := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[applianceFile](), "toml")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		known[strings.NewReplacer("(omitempty)", "", "[]", "").Replace(name)] = true
	}
	for _, name := range []string{"full", "platform-like"} {
		dir := t.TempDir()
		makeSiteKeys(t, filepath.Join(dir, "keys"))
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
			t.Errorf("%s: the state folder does not exist, but the error is %v", name, err)
		}
		c, err = Load(func(key string) string { return map[string]string{"LB_STATE": dir}[key] }, path)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".config.txt", strings.ReplaceAll(formatConfig(t, &c), dir, "DIR"))
		var f applianceFile
		md, err := toml.DecodeFile(path, &f)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range md.Keys() {
			delete(known, k.String())
		}
	}
	if len(known) > 0 {
		t.Errorf("keys that neither file sets: %v", slices.Sorted(maps.Keys(known)))
	}
}

// The configuration that results from full.json, a platform's file with every key.
func TestGoldenFullPlatform(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := load(t, string(raw), "", map[string]string{"LB_ACCEPT_FD": "7", "LB_NAME": "other"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "platform.config.txt", strings.ReplaceAll(formatConfig(t, &c), c.State, "DIR"))
	var text map[string]any
	if err := json.Unmarshal(raw, &text); err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[platformFile](), "json")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		if !hasKey(text, strings.Split(name, ".")) {
			t.Errorf("full.json does not set %s", name)
		}
	}
}

// hasKey reports whether a decoded JSON value has the key at path. Of a list only the first entry is checked.
func hasKey(v any, path []string) bool {
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
		return ok && hasKey(next, path[1:])
	}
	list, ok := next.([]any)
	return ok && len(list) > 0 && hasKey(list[0], path[1:])
}

// formatConfig formats a configuration with the names of the files' keys, not those of the Go fields. Parts without a
// key get names here.
func formatConfig(t *testing.T, c *Config) string {
	t.Helper()
	var out strings.Builder
	writeValue(&out, "json", reflect.ValueOf(toPlatformFile(c)), "json")
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
		{"group.there", c.Group.Enabled()},
		{"client_sockets", c.ClientSockets()},
		{"target_sockets", c.TargetSockets()},
		{"journal_mb", c.JournalMB()},
		{"amqp.serves", c.AMQP.Serves()},
		{"tls.server", c.TLSConfigs.Server != nil},
		{"tls.targets", slices.Sorted(maps.Keys(c.TLSConfigs.Targets))},
	} {
		writeValue(&out, part.name, reflect.ValueOf(part.value), "toml")
	}
	for i, h := range c.Endpoints.Hosts {
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

// writeValue writes a value, one line for each field or entry.
func writeValue(out *strings.Builder, path string, v reflect.Value, tag string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get(tag), ",")
			if name != "" && name != "-" {
				writeValue(out, path+"."+name, v.Field(i), tag)
			}
		}
	case reflect.Slice:
		fmt.Fprintf(out, "%s has %d\n", path, v.Len())
		for i := range v.Len() {
			writeValue(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i), tag)
		}
	case reflect.String:
		fmt.Fprintf(out, "%s = %q\n", path, v)
	default:
		fmt.Fprintf(out, "%s = %v\n", path, v)
	}
}

// A value of the wrong type at each key of the platform's file: the error names the key.
func TestGoldenErrorsOfTypes(t *testing.T) {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(golden.Fields(reflect.TypeFor[platformFile](), "json")), "\n") {
		name, _, _ := strings.Cut(line, " ")
		text := objectAtKey(strings.Split(name, "."))
		_, err := load(t, text, "", nil)
		fmt.Fprintf(&out, "%s\n  %v\n", text, err)
	}
	golden.Check(t, "errors.json.txt", out.String())
}

// objectAtKey returns a JSON text with an object at path, where a plain value belongs.
func objectAtKey(path []string) string {
	if len(path) == 0 {
		return "{}"
	}
	name, list := strings.CutSuffix(path[0], "[]")
	inner := objectAtKey(path[1:])
	if list {
		inner = "[" + inner + "]"
	}
	return fmt.Sprintf("{%q:%s}", name, inner)
}

// The complete errors for invalid values in both files. Each line of bad.txt is one change of a valid file.
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
	makeSiteKeys(t, filepath.Join(dir, "keys"))
	var out strings.Builder
	try := func(file, old, with, text string) {
		if strings.Count(text, old) == 0 {
			t.Fatalf("%s does not contain %s", file, old)
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
			t.Fatalf("bad.txt: a line is not of the form FILE: OLD -> NEW: %s", line)
		}
		try(file, old, with, text)
	}
	golden.Check(t, "errors.values.txt", strings.ReplaceAll(out.String(), dir, "DIR"))
}

// toPlatformFile converts a configuration to the form of the platform's file.
func toPlatformFile(c *Config) platformFile {
	return platformFile{
		Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Control: c.Control,
		Seed: c.Seed, Limits: c.Limits, Endpoints: c.Endpoints, Settings: settings.Wire(&c.Settings),
	}
}
