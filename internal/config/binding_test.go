package config

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Each key of a class, route, kind, account and virtual host binds either the messages that were accepted under it or
// what is done from its change on: docs/design.md has a row for each, and none for another key.
func TestEachKeyBinds(t *testing.T) {
	var keys []string
	for prefix, section := range map[string]reflect.Type{
		"class":        reflect.TypeFor[Class](),
		"kind":         reflect.TypeFor[Kind](),
		"route":        reflect.TypeFor[Route](),
		"amqp.account": reflect.TypeFor[AMQPAccount](),
		"amqp.vhost":   reflect.TypeFor[AMQPVHost](),
	} {
		keys = append(keys, keysOf(prefix, section)...)
	}
	design, err := os.ReadFile(filepath.Join("..", "..", "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| (accepted|next) \\|").FindAllSubmatch(design, -1) {
		rows = append(rows, string(row[1]))
	}
	slices.Sort(keys)
	slices.Sort(rows)
	if !slices.Equal(keys, rows) {
		t.Errorf("keys\n%s\nrows of docs/design.md\n%s", strings.Join(keys, "\n"), strings.Join(rows, "\n"))
	}
}

// keysOf returns the keys of a section of a file, with those of its sections.
func keysOf(prefix string, section reflect.Type) (keys []string) {
	for i := range section.NumField() {
		field := section.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		inner := field.Type
		if inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysOf(prefix+"."+name, inner)...)
			continue
		}
		keys = append(keys, prefix+"."+name)
	}
	return keys
}
