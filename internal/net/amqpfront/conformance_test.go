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

// The test cases of the conformance suite, against the front's ingress and against the suite's own stand-in broker.
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
	front, _ := startInstantSender(t)
	for kind, addr := range map[string]string{amqptest.Front: front, amqptest.Broker: ln.Addr().String()} {
		t.Run(kind, func(t *testing.T) {
			dial := func() (net.Conn, error) { return net.Dial("tcp", addr) }
			n := 0
			for _, r := range (amqptest.Target{Kind: kind, Dial: dial, Limit: 2 * time.Second}).Play(scenes) {
				if n++; r.Err != nil {
					t.Errorf("%s %s: %v", r.Scene.Section, r.Scene.Name, r.Err)
				}
			}
			t.Logf("%d test cases", n)
		})
	}
}

// startInstantSender starts a sender whose attempts to destinations 1 and 7 succeed immediately.
func startInstantSender(t testing.TB) (addr string, kill func()) {
	settings := standin.Settings()
	settings.Limits.MaxMessages = 100_000
	return standin.StartWith(t, t.TempDir(), settings, 256<<20, nil, addInstantFront)
}

// addInstantFront adds an AMQP ingress and an instantEgress to the core, and returns the ingress's accept function.
func addInstantFront(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
	return newInstantIngress(core, react).Accept
}

// newInstantIngress adds an AMQP ingress and an instantEgress to the core.
func newInstantIngress(core *sender.Sender, react *reactor.Reactor) *Ingress {
	ingress := NewIngress(core, react,
		Options{Policy: access.OpenPolicy("messages"), Heartbeat: time.Minute, Channels: 64},
		conntable.NewSharedLimit(1000).NewTable(Limits(1000)))
	core.AddEgress("now", instantEgress{core})
	var routes []sender.Route
	for _, dest := range []int64{1, 7} {
		routes = append(routes, sender.Route{Endpoint: scheduler.Endpoint{
			Addr: fmt.Sprint("t", dest), MachineType: "k",
			Destination: dest, State: "live",
		}, Protocol: "now"})
	}
	core.UpdateRoutes("whole", routes)
	return ingress
}
