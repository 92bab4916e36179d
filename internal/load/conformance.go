package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"brackendale/internal/testing/amqptest"
)

// conversationTimeout ends a scenario that hangs.
const conversationTimeout = 5 * time.Second

// Conformance runs the suite's scenarios against a sender that it starts and against the suite's stand-in broker.
func Conformance(ctx context.Context, program string, log io.Writer) (amqptest.Report, error) {
	report := amqptest.Report{Kinds: []string{amqptest.Front, amqptest.Broker}, Results: map[string][]amqptest.Result{}}
	scenes, err := amqptest.Scenes()
	if err != nil {
		return report, err
	}
	partner, err := startPartner()
	if err != nil {
		return report, err
	}
	defer partner.Close()
	dir, err := os.MkdirTemp("", "brackendale-conformance")
	if err != nil {
		return report, fmt.Errorf("load: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	front, err := freeAddr()
	if err != nil {
		return report, err
	}
	file := filepath.Join(dir, "sender.toml")
	if err := os.WriteFile(file, conformanceConfig(front, partner.Addr().String()), 0o600); err != nil {
		return report, fmt.Errorf("load: %w", err)
	}
	command := exec.CommandContext(ctx, program, "serve", "--config", file)
	command.Env = append(os.Environ(), "LB_STATE="+dir, "LB_CONFIG=")
	command.Stderr = log
	if err := command.Start(); err != nil {
		return report, fmt.Errorf("load: starting a sender: %w", err)
	}
	defer func() { _ = command.Process.Kill(); _ = command.Wait() }() // its state directory is removed as well
	if err := waitForListener(front); err != nil {
		return report, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return report, fmt.Errorf("load: %w", err)
	}
	defer ln.Close()
	go amqptest.NewStandIn("messages").Serve(ln)
	for kind, addr := range map[string]string{amqptest.Front: front, amqptest.Broker: ln.Addr().String()} {
		dial := func() (net.Conn, error) { return net.Dial("tcp", addr) }
		report.Results[kind] = amqptest.Target{Kind: kind, Dial: dial, Limit: conversationTimeout}.Play(scenes)
	}
	return report, nil
}

// conformanceConfig returns a configuration with one class for each effect and the one destination that the
// scenarios use.
func conformanceConfig(front, partner string) []byte {
	classes := ""
	for name, effect := range map[string]string{"safe": "repeatable", "key": "by_key", "once": "once"} {
		classes += fmt.Sprintf("[[class]]\nname = %q\neffect = %q\naim_ms = 2000\ndeadline_ms = 20000\nwindow_ms = "+
			"20000\nworth = 1\n", name, effect)
	}
	return fmt.Appendf(nil, "[limits]\ndisk_mb = 64\n[sender]\nhold = 4000\n[amqp]\nlisten = %q\nexchange = "+
		"\"messages\"\n%s"+
		"[[route]]\nname = \"partner\"\ndest = 1\nproto = \"http\"\ndial = %q\n", front, classes, partner)
}

// waitForListener waits until a sender that was started accepts connections at addr.
func waitForListener(addr string) error {
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			return conn.Close()
		}
		if time.Since(start) > 10*time.Second {
			return fmt.Errorf("load: the sender does not accept connections: %w", err)
		}
	}
}
