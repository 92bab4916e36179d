package conntable

import (
	"fmt"
	"strings"
	"testing"

	"brackendale/internal/testing/golden"
)

// The names of classes and reasons are keys of the console's reply. After an intended change,
// go test ./internal/net/conntable -run Golden -update-golden rewrites the golden file.
func TestGoldenNames(t *testing.T) {
	var out strings.Builder
	for c := range Class(classes) {
		fmt.Fprintf(&out, "class %s\n", c)
	}
	for r := range Reason(reasons) {
		fmt.Fprintf(&out, "reason %s\n", r)
	}
	golden.Check(t, "words.txt", out.String())
}
