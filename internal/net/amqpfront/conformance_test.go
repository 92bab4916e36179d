package amqpfront

import (
	"fmt"
	"net"
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/amqptest"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"
)

// The suite's scenes, against the clients' side and against the stand-in broker that the suite brings.
func TestConformance(t *testing.T) {
	scenes, err := amqptest.Scenes()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go amqptest.NewStandIn("messages").Serve(ln)
	front, _ := startInstant(t)
	for kind, addr := range map[string]string{amqptest.Front: front, amqptest.Broker: ln.Addr().String()} {
		t.Run(kind, func(t *testing.T) {
			dial := func() (net.Conn, error) { return net.Dial("tcp", addr) }
			n := 0
			for _, r := range (amqptest.Target{Kind: kind, Dial: dial, Limit: 2 * time.Second}).Play(scenes) {
				if n++; r.Err != nil {
					t.Errorf("%s %s: %v", r.Scene.Section, r.Scene.Name, r.Err)
				}
			}
			t.Logf("%d scenes", n)
		})
	}
}

// startInstant begins a sender whose destinations 1 and 7 deliver at once.
func startInstant(t testing.TB) (addr string, kill func()) {
	set := standin.Settings()
	set.Limits.MaxMessages = 100_000
	return standin.StartWith(t, t.TempDir(), set, 256<<20, nil, joinInstant)
}

func joinInstant(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
	in := NewIngress(c, r, Options{Policy: access.Anyone("messages"), Heartbeat: time.Minute, Channels: 64},
		conntable.NewSharedLimit(1000).NewTable(Limits(1000)))
	c.AddEgress("now", atOnce{c})
	var routes []sender.Route
	for _, dest := range []int64{1, 7} {
		routes = append(routes, sender.Route{Endpoint: scheduler.Endpoint{
			Addr: fmt.Sprint("t", dest), MachineType: "k",
			Destination: dest, State: "live",
		}, Protocol: "now"})
	}
	c.UpdateRoutes("whole", routes)
	return in.Accept
}
