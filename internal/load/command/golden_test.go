package command

import (
	"testing"

	"brackendale/internal/testing/golden"
	"brackendale/internal/testing/golden/commands"
)

// The golden file lists every command and flag of the load tool. After an intended change,
// go test ./internal/load/command -run Golden -update-golden rewrites it.
func TestGoldenCommands(t *testing.T) {
	golden.Check(t, "commands.txt", commands.List(Command()))
}
