package interop

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Six senders with one endpoint are killed at the same time and started again, each with one unsafe message in flight
// and four queued. Each message must have exactly one final answer, messages in flight must not be sent again, and
// queued messages must be delivered once.
func TestManyProcessesKilledAtOnce(t *testing.T) {
	const senders, charges = 6, 5
	sites, addrs := make([]*site, senders), make([]string, senders)
	first := prepare(t)
	killed, inFlight := make(chan struct{}), make(chan struct{}, senders*charges)
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		first.mu.Lock()
		first.applied[r.Header.Get("Req-Id")]++
		first.mu.Unlock()
		select {
		case <-killed:
		default:
			inFlight <- struct{}{}
			<-killed
		}
	}))
	t.Cleanup(partner.Close)
	for i := range sites {
		s := first
		if i > 0 {
			s = prepare(t)
		}
		s.partner, addrs[i] = partner.Listener.Addr().String(), freeAddr(t)
		s.url = "amqp://lab:secret@" + addrs[i] + "/"
		s.write(fmt.Sprintf("listen = %q\nuser = \"lab\"\npassword = \"secret\"\nexchange = \"messages\"\n", addrs[i]))
		s.serve(addrs[i])
		sites[i] = s
		ch := s.channel()
		for k := range charges {
			if err := s.publish(ch, fmt.Sprint("m", i, "-", k), "answers"); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range sites { // one message is in flight at each, or more on a slow machine: a sender first waits for a response
		select {
		case <-inFlight:
		case <-time.After(hangTimeout):
			t.Fatal("not every sender has a message in flight")
		}
	}
	for _, s := range sites {
		_ = s.proc.Kill()
	}
	close(killed)
	for i, s := range sites {
		_, _ = s.proc.Wait()
		s.serve(addrs[i])
	}
	counts := map[string]int{}
	for _, s := range sites {
		answers, err := s.channel().Consume("answers", "", true, false, false, false, nil)
		if err != nil {
			t.Fatal(err)
		}
		finalAnswers := map[string]bool{}
		for len(finalAnswers) < charges {
			select {
			case d := <-answers:
				first.mu.Lock()
				n := first.applied[d.MessageId]
				first.mu.Unlock()
				if finalAnswers[d.MessageId] {
					t.Errorf("%s has two final answers", d.MessageId)
				}
				finalAnswers[d.MessageId] = true
				counts[fmt.Sprint(d.Type, n)]++
			case <-time.After(hangTimeout):
				t.Fatalf("final answers of %v only", finalAnswers)
			}
		}
	}
	if out := counts["failed1"]; out < senders || out == senders*charges || out+counts["delivered1"] != senders*charges {
		t.Errorf("final answers, with how often each message was applied: %v", counts)
	}
}
