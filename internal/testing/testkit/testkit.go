// Package testkit has helpers for the tests of several packages and depends on none of them.
package testkit

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// Seeded runs a package's tests; its property tests draw the same cases in every run, as many as checks says.
func Seeded(m *testing.M, checks string) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package has no property tests
		}
	}
	os.Exit(m.Run())
}

// HeapBytes returns the number of bytes in use on the heap after a garbage collection.
func HeapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
