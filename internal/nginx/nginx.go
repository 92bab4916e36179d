// Package nginx converts the upstream and location blocks of an nginx configuration into a configuration of this
// program in TOML. Each location becomes a destination, and each server of its upstream a route.
package nginx

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"

	"brackendale/internal/config"

	"github.com/BurntSushi/toml"
)

// server is one server of an upstream.
type server struct {
	dial     string
	draining bool // the server is marked as down
}

// importer collects what can be converted, and notes on what cannot.
type importer struct {
	source *reader
	notes  []string // file, line and text of what is not converted

	upstreams     map[string][]server
	locations     []directive
	routes        []config.Route
	locationPaths map[int64]string // by destination
}

// addNote adds a note on a line of the input.
func (im *importer) addNote(line int, format string, args ...any) {
	im.notes = append(im.notes, im.source.errorAt(line, format, args...).Error())
}

// Import converts an nginx configuration into a complete configuration of this program. file is its name, for notes and
// errors. notes lists, with file and line, what cannot be converted. If there is an error, out is empty.
func Import(file, text string) (out string, notes []string, err error) {
	im := &importer{
		source: &reader{file: file, text: text, line: 1}, upstreams: map[string][]server{},
		locationPaths: map[int64]string{},
	}
	directives, err := im.source.block(0)
	if err != nil {
		return "", nil, err
	}
	if err := im.collectBlocks(directives, ""); err != nil {
		return "", im.notes, err
	}
	for _, location := range im.locations {
		im.addLocation(location)
	}
	slices.SortStableFunc(im.notes, func(a, b string) int { return lineOf(a) - lineOf(b) })
	if len(im.routes) == 0 {
		return "", im.notes, fmt.Errorf("%s: no location that passes to a server can be carried over", file)
	}
	return im.writeTOML(), im.notes, nil
}

// lineOf returns the line number in a note.
func lineOf(note string) (n int) {
	parts := strings.SplitN(note, ":", 3)
	if len(parts) > 1 {
		_, _ = fmt.Sscan(parts[1], &n)
	}
	return n
}

// The directives that are converted.
const (
	dirHTTP      = "http"
	dirServer    = "server"
	dirUpstream  = "upstream"
	dirLocation  = "location"
	dirProxyPass = "proxy_pass"
)

const (
	protoHTTP   = "http" // of a route, and of the URL of a proxy_pass
	defaultPort = "80"
)

// collectBlocks collects the upstreams and locations in the directives of a block. parent is the name of the directive
// that the block belongs to, and empty at the top level.
func (im *importer) collectBlocks(directives []directive, parent string) error {
	for _, child := range directives {
		switch name := child.words[0]; {
		case name == dirHTTP,
			name == dirServer && (parent != dirUpstream || child.block != nil && len(child.words) == 1):
			if err := im.collectBlocks(child.block, name); err != nil {
				return err
			}
		case name == dirUpstream && len(child.words) == 2:
			if _, ok := im.upstreams[child.words[1]]; ok {
				return im.source.errorAt(child.line, "upstream %q is there twice", child.words[1])
			}
			im.upstreams[child.words[1]] = im.upstreamServers(child)
		case name == dirLocation:
			im.locations = append(im.locations, child)
		default:
			im.addNote(child.line, "%s is not carried over", name)
		}
	}
	return nil
}

// upstreamServers returns the servers of an upstream block that can be converted.
func (im *importer) upstreamServers(upstream directive) []server {
	var list []server
	for _, child := range upstream.block {
		if child.words[0] != dirServer || len(child.words) < 2 {
			im.addNote(child.line, "%s is not carried over", child.words[0])
			continue
		}
		converted, usable := server{}, true
		for _, option := range child.words[2:] {
			switch option {
			case "down":
				converted.draining = true
			case "backup":
				usable = false
				im.addNote(child.line, "a backup server is not carried over")
			default:
				im.addNote(child.line, "server's %s is not carried over", option)
			}
		}
		if converted.dial = joinAddress(child.words[1], defaultPort); converted.dial == "" {
			usable = false
			im.addNote(child.line, "server %s is no TCP address and not carried over", child.words[1])
		}
		if usable {
			list = append(list, converted)
		}
	}
	return list
}

// joinAddress adds a fallback port to host[:port]. It returns "" if the text is not a TCP address.
func joinAddress(text, fallbackPort string) string {
	if strings.ContainsAny(text, "$/ ") || strings.HasPrefix(text, "unix:") {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		host, port = strings.Trim(text, "[]"), fallbackPort
	}
	if host == "" || port == "" || strings.Count(host, ":") == 1 {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// addLocation makes one location a destination, and adds a route for each of its servers.
func (im *importer) addLocation(location directive) {
	path := location.words[len(location.words)-1]
	isPattern := len(location.words) > 2 && strings.HasPrefix(location.words[1], "~")
	if isPattern || len(location.words) < 2 || strings.HasPrefix(path, "@") {
		im.addNote(location.line, "location %s is no plain path and not carried over", strings.Join(location.words[1:], " "))
		return
	}
	var servers []server
	name := ""
	for _, child := range location.block {
		if child.words[0] != dirProxyPass || len(child.words) != 2 {
			im.addNote(child.line, "%s is not carried over", child.words[0])
			continue
		}
		target, err := url.Parse(child.words[1])
		if err != nil || target.Scheme != protoHTTP || strings.Contains(child.words[1], "$") {
			im.addNote(child.line, "proxy_pass %s is no plain http:// address and not carried over", child.words[1])
			continue
		}
		if target.Path != "" {
			im.addNote(child.line, "the path %s of proxy_pass is not carried over: calls go to /events", target.Path)
		}
		if servers, name = im.upstreams[target.Host], target.Host; servers == nil {
			if dial := joinAddress(target.Host, defaultPort); dial != "" && strings.ContainsAny(target.Host, ".:") {
				servers = []server{{dial: dial}}
			}
		}
		if len(servers) == 0 {
			im.addNote(child.line, "upstream %s has no server that can be carried over", target.Host)
		}
	}
	if len(servers) == 0 {
		im.addNote(location.line, "location %s passes to no server and is not carried over", path)
		return
	}
	dest := int64(len(im.locationPaths) + 1)
	im.locationPaths[dest] = path
	for i, upstreamServer := range servers {
		im.routes = append(im.routes, config.Route{
			Name: fmt.Sprintf("%s-%d-%d", name, dest, i+1), Dest: dest,
			Proto: protoHTTP, Dial: upstreamServer.dial, Drain: upstreamServer.draining,
		})
	}
}

// writeTOML returns the configuration as TOML.
func (im *importer) writeTOML() string {
	var out strings.Builder
	out.WriteString("# Made from " + fmt.Sprintf("%q", im.source.file) + ". Clients name a destination by its number:\n")
	for dest := int64(1); dest <= int64(len(im.locationPaths)); dest++ {
		fmt.Fprintf(&out, "#   %d: location %q\n", dest, im.locationPaths[dest])
	}
	out.WriteString(`# nginx has no word on classes of message. This one is the safest: never sent again once ` +
		`it may have run.

[amqp]
listen = "127.0.0.1:5672"
exchange = "messages"

[[class]]
name = "message"
effect = "once"
aim_ms = 2000
deadline_ms = 30000
worth = 1

`)
	// Encoding strings, numbers and booleans into a builder cannot fail.
	_ = toml.NewEncoder(&out).Encode(struct {
		Route []config.Route `toml:"route"`
	}{im.routes})
	return out.String()
}
