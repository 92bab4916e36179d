package app

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/testing/faults"

	"github.com/rabbitmq/amqp091-go"
)

const (
	slowClients    = 500
	slowClientTime = 5 * time.Second
	unfinishedBody = 65_000 // bytes
	// unfinishedFrameSize is in bytes, just under the largest frame that is accepted.
	unfinishedFrameSize = 130_000
)

// setLimits replaces the limits in the configuration file.
func (env *testEnv) setLimits(memoryMB, sockets int) {
	env.t.Helper()
	text, err := os.ReadFile(env.configFile())
	if err != nil {
		env.t.Fatal(err)
	}
	changed := strings.Replace(string(text), "memory_mb = 64\nsockets = 384",
		fmt.Sprintf("memory_mb = %d\nsockets = %d", memoryMB, sockets), 1)
	if err := os.WriteFile(env.configFile(), []byte(changed), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// setApplianceLimits replaces the limits in the configuration file.
func (env *applianceEnv) setApplianceLimits(memoryMB int) {
	env.t.Helper()
	text, err := os.ReadFile(env.configFile())
	if err != nil {
		env.t.Fatal(err)
	}
	limits := fmt.Sprintf("[limits]\nmemory_mb = %d\nsockets = 1024", memoryMB)
	changed := strings.Replace(string(text), "[limits]\nsockets = 200", limits, 1)
	if err := os.WriteFile(env.configFile(), []byte(changed), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// peakMB returns the peak resident memory of a process, in megabytes.
func (env *testEnv) peakMB(proc *process) float64 {
	env.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
	if err != nil {
		env.t.Fatal(err)
	}
	_, after, _ := bytes.Cut(raw, []byte("VmHWM:"))
	kb, err := strconv.Atoi(string(bytes.Fields(after)[0]))
	if err != nil {
		env.t.Fatal(err)
	}
	return float64(kb) / 1024
}

// writeSlowly writes nine tenths of a command at once and then a byte each 0.2 s, until ctx or the connection ends.
func writeSlowly(ctx context.Context, addr string, command []byte) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	sent := len(command) * 9 / 10
	_, err = conn.Write(command[:sent])
	for ; err == nil && sent < len(command)-1; sent++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
		_, err = conn.Write(command[sent : sent+1])
	}
}

// checkPeak runs hundreds of clients at once for some seconds and fails the test if the memory of the process exceeds
// its limit.
func (env *testEnv) checkPeak(proc *process, memoryMB int, client func(context.Context)) {
	env.t.Helper()
	env.waitReady(proc)
	idleMB := env.peakMB(proc)
	ctx, cancel := context.WithTimeout(context.Background(), slowClientTime)
	defer cancel()
	for range slowClients {
		go client(ctx)
	}
	<-ctx.Done()
	peakMB := env.peakMB(proc)
	env.t.Logf("peak %.1f MB, idle %.1f MB", peakMB, idleMB)
	if peakMB > float64(memoryMB) {
		env.t.Errorf("peak of %.1f MB, the limit is %d MB", peakMB, memoryMB)
	}
}

// Picture (a): with hundreds of clients that stop in the middle of a large command, or dribble it, the process exceeded
// its memory limit.
func TestMemoryOfUnfinishedCommands(t *testing.T) {
	body := strings.Repeat("x", unfinishedBody)
	manyFields := "c=charge,d=9000,dest=7" + strings.Repeat(",a=", unfinishedBody/3)
	for name, arguments := range map[string][]string{
		"large body":  {"SUBMIT", "0", "m", "c=charge,d=9000,dest=7", body},
		"many fields": {"SUBMIT", "0", "m", manyFields, "b"},
	} {
		for _, memoryMB := range []int{32, 48} {
			t.Run(fmt.Sprintf("%s, %d MB", name, memoryMB), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.setLimits(memoryMB, 1024)
				var command bytes.Buffer
				fmt.Fprintf(&command, "*%d\r\n", len(arguments))
				for _, argument := range arguments {
					fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(argument), argument)
				}
				env.checkPeak(env.startWith(faults.Faults{}), memoryMB, func(ctx context.Context) {
					writeSlowly(ctx, env.clientAddr, command.Bytes())
				})
			})
		}
	}
}

// unfinishedFrame returns the protocol header and a frame just under the largest size, as a client may send it before
// its login.
func unfinishedFrame() []byte {
	frame := append([]byte(amqp.ProtocolHeader), byte(amqp.FrameMethod), 0, 0)
	frame = binary.BigEndian.AppendUint32(frame, unfinishedFrameSize)
	return append(frame, make([]byte, unfinishedFrameSize)...)
}

// publishSlowly logs in and writes a publish of which the end is missing.
func publishSlowly(ctx context.Context, addr string, publish []byte) {
	var rawConn net.Conn
	conn, err := amqp091.DialConfig("amqp://guest:guest@"+addr+"/", amqp091.Config{
		Dial: func(network, addr string) (conn net.Conn, err error) {
			rawConn, err = (&net.Dialer{}).DialContext(ctx, network, addr)
			return rawConn, err
		},
	})
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Channel(); err != nil {
		return
	}
	_, _ = rawConn.Write(publish[:len(publish)*9/10])
	<-ctx.Done()
}

// Picture (a) on AMQP: with hundreds of clients that stopped in the middle of a large frame, before their login or in
// the headers or body of a publish, the process exceeded its memory limit.
func TestMemoryOfUnfinishedFrames(t *testing.T) {
	manyHeaders := amqp.Props{Headers: amqp.Table{}}
	for i := range unfinishedBody / 8 {
		manyHeaders.Headers[fmt.Sprint(i)] = true
	}
	body := make([]byte, unfinishedBody)
	publish := func(props *amqp.Props, body []byte) []byte {
		return amqp.AppendMessage(nil, 1, amqp.Publish, props, body, amqp.FrameMax, 0, "messages", "1", false, false)
	}
	for name, client := range map[string]func(context.Context, string){
		"before the login": func(ctx context.Context, addr string) { writeSlowly(ctx, addr, unfinishedFrame()) },
		"body":             func(ctx context.Context, addr string) { publishSlowly(ctx, addr, publish(&amqp.Props{}, body)) },
		"headers":          func(ctx context.Context, addr string) { publishSlowly(ctx, addr, publish(&manyHeaders, nil)) },
	} {
		for _, memoryMB := range []int{28, 48} {
			t.Run(fmt.Sprintf("%s, %d MB", name, memoryMB), func(t *testing.T) {
				t.Parallel()
				env := newApplianceEnv(t)
				env.setApplianceLimits(memoryMB)
				env.checkPeak(env.startProcess(), memoryMB, func(ctx context.Context) { client(ctx, env.amqpAddr) })
			})
		}
	}
}
