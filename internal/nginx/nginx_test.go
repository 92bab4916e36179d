package nginx

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
)

const sample = `# a small site
http {
  upstream lab { server 10.0.0.1:8080 weight=3; server 10.0.0.2 down;
    server 10.0.0.3:1 backup; keepalive 8; }
  server {
    listen 80;
    location /records { proxy_pass http://lab; }
    location = /bills { proxy_pass http://127.0.0.1:9000/in; proxy_set_header Host "a;b{c}"; }
    location ~ \.php$ { proxy_pass http://lab; }
    location /tls { proxy_pass https://lab; }
    location /var { proxy_pass http://${name}; }
    location / { return 404; }
  }
}
`

func TestImport(t *testing.T) {
	out, notes, err := Import("site.conf", sample)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`#   1: location "/records"`, `dial = "10.0.0.1:8080"`, `dial = "10.0.0.2:80"`, "drain = true",
		`#   2: location "/bills"`, `dial = "127.0.0.1:9000"`,
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
	if n := strings.Count(out, "[[route]]"); n != 3 {
		t.Errorf("got %d routes, want 3", n)
	}
	want := []string{
		"site.conf:3: server's weight=3", "site.conf:4: a backup", "site.conf:4: keepalive", "site.conf:6: listen",
		"site.conf:8: the path /in", "site.conf:8: proxy_set_header", "site.conf:9: location ~",
		"site.conf:10: proxy_pass https",
		"site.conf:10: location /tls", "site.conf:11: proxy_pass", "site.conf:11: location /var",
		"site.conf:12: return", "site.conf:12: location /",
	}
	if !slices.EqualFunc(notes, want, strings.HasPrefix) {
		t.Errorf("got notes\n%s", strings.Join(notes, "\n"))
	}
}

// Text that is malformed or has nothing to convert gives an error with the line, and no configuration.
func TestInvalidTextGivesNoConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		"http {\n server {":        "f:2:",
		"}\n":                      "f:1: braces",
		"a\nb":                     "f:1: \"a\" does not end",
		"\n;":                      "f:2: \";\" without",
		"a \"b\n":                  "f:1: a quote",
		strings.Repeat("a {", 40):  "f:1: blocks",
		"upstream a { server b; }": "no location",
		"upstream a{server b;}\nupstream a{server c;}":   "f:2: upstream",
		"server { location / { proxy_pass http://x; } }": "no location",
	} {
		out, _, err := Import("f", text)
		if err == nil || !strings.Contains(err.Error(), want) || out != "" {
			t.Errorf("%q: got error %v", text, err)
		}
	}
}

// For any text, Import returns either an error or a configuration with routes.
func FuzzImport(f *testing.F) {
	rng := rand.New(rand.NewSource(6))
	for range 30 {
		b := []byte(sample)[:rng.Intn(len(sample)+1)]
		f.Add(string(b))
		noise := make([]byte, rng.Intn(40))
		rng.Read(noise)
		f.Add("http { " + string(noise) + " }")
	}
	f.Fuzz(func(t *testing.T, text string) {
		if out, _, err := Import("f", text); (err == nil) != strings.Contains(out, "[[route]]") {
			t.Fatal(out, err)
		}
	})
}
