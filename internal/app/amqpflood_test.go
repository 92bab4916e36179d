package app

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
)

const (
	floodTime     = 3 * time.Second
	floodMemoryMB = 48
	pingInterval  = 10 * time.Millisecond
)

// floodAMQP writes frames on one connection as fast as it takes them, until ctx ends. It connects again when the
// connection is closed.
func floodAMQP(ctx context.Context, addr string, frames func(number int) []byte) (sent int) {
	for ctx.Err() == nil {
		var rawConn net.Conn
		conn, err := amqp091.DialConfig("amqp://guest:guest@"+addr+"/", amqp091.Config{
			Dial: func(network, addr string) (conn net.Conn, err error) {
				rawConn, err = (&net.Dialer{}).DialContext(ctx, network, addr)
				return rawConn, err
			},
		})
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = rawConn.Close() })
		_, err = conn.Channel()
		for err == nil {
			var batch []byte
			for range 50 {
				batch = append(batch, frames(sent)...)
				sent++
			}
			_, err = rawConn.Write(batch)
		}
		stop()
		_ = conn.Close()
	}
	return sent
}

// Picture (b) on AMQP: while one client sends small or unsound requests under ever new names at full speed, other
// clients get no replies, or memory grows without end.
func TestOtherClientsOfAFloodedFront(t *testing.T) {
	publish := func(props *amqp.Props, exchange, destination string) []byte {
		return amqp.AppendMessage(nil, 1, amqp.Publish, props, []byte("b"), amqp.FrameMin, 0, exchange, destination, false,
			false)
	}
	for name, frames := range map[string]func(number int) []byte{
		"new queues": func(number int) []byte {
			return amqp.AppendMethod(nil, 1, amqp.QueueDeclare, 0, fmt.Sprint("queue", number), false, false, false, false,
				false, amqp.Table{})
		},
		"new reply queues": func(number int) []byte {
			id := fmt.Sprint("m", number)
			return publish(&amqp.Props{MessageID: id, Type: "note", ReplyTo: "answers" + id, CorrelationID: id}, "messages", "1")
		},
		"new destinations": func(number int) []byte {
			id := fmt.Sprint("m", number)
			return publish(&amqp.Props{MessageID: id, Type: "note" + id}, "messages", id)
		},
		"heartbeats":     func(int) []byte { return []byte{amqp.FrameHeartbeat, 0, 0, 0, 0, 0, 0, 0xCE} },
		"unsound frames": func(number int) []byte { return fmt.Appendf(nil, "unsound%d", number) },
		"new channels": func(number int) []byte {
			return amqp.AppendMethod(nil, uint16(2+number%2000), amqp.ChanOpen, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newApplianceEnv(t)
			env.setApplianceLimits(floodMemoryMB)
			proc := env.startProcess()
			env.waitReady(proc)
			ctx, cancel := context.WithTimeout(t.Context(), floodTime)
			defer cancel()
			flooded := make(chan int)
			go func() { flooded <- floodAMQP(ctx, env.amqpAddr, frames) }()
			worst := env.worstPing(ctx)
			sent := <-flooded
			peakMB := env.peakMB(proc)
			t.Logf("%d requests, the slowest reply to another client %v, peak %.1f MB", sent, worst, peakMB)
			if peakMB > floodMemoryMB {
				t.Errorf("peak of %.1f MB, the limit is %d MB", peakMB, floodMemoryMB)
			}
		})
	}
}

// worstPing returns the longest time of a reply to another client until ctx ends.
func (env *testEnv) worstPing(ctx context.Context) (worst time.Duration) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		startTime := time.Now()
		if err := pingOnce(conn, reader, standin.Long); err != nil {
			env.t.Fatal(err)
		}
		worst = max(worst, time.Since(startTime))
		time.Sleep(pingInterval)
	}
	return worst
}
