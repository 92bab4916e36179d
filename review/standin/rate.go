package main

import (
	"fmt"
	"net/http"
	"time"
)

// The figures of the case "rate".
const (
	messagesPerSecond = 380
	clientConns       = 32
	serviceTime       = 12 * time.Millisecond
	limitPerSecond    = 440 // of the partner, as a count in each span of 2 s; 380 are 86% of it
	span              = 2 * time.Second
	silentEvery       = 4 // one refusal in so many does not tell the wait
	longestTraffic    = 85 * time.Second
)

func init() { cases["rate"] = rateCase }

// bangna returns the settings of the site bangna-campus, whose partners tell nothing of their limits in answers.
func bangna(set map[string]any) {
	set["az"], set["zones"] = "building-a", []string{"building-a", "building-b"}
	caps := set["caps"].(map[string]any)
	for name, value := range map[string]any{
		"connectTimeoutUs": 1000000, "keepaliveUs": 10000000, "maxAttempts": 6, "maxRetryAfterUs": 2000000,
	} {
		caps[name] = value
	}
	set["customers"] = []any{}
	set["familyInfo"] = map[string]any{
		"carriage": []float64{0, 0}, "decay": "halves", "ownLimits": []bool{false, false, false},
		"perCall": []int{1, 1, 1}, "turnedAwayPrice": 0.0, "workers": 12,
	}
	set["lanes"] = []any{
		map[string]any{
			"aimUs": 2000000, "effect": "by_key", "group": "all", "hardLimitUs": 16000000, "lateValue": 0.3,
			"name": "order-update", "stream": false, "windowUs": 15000000, "worth": 2.0,
		},
		map[string]any{
			"aimUs": 4000000, "effect": "once", "group": "all", "hardLimitUs": 20000000, "lateValue": 0.3,
			"name": "payment-notice", "stream": false, "windowUs": 5000000, "worth": 1.0,
		},
	}
	set["machineTypes"] = []string{"major-partner", "merchant", "small-shop"}
	set["report"] = map[string]any{"fields": []string{}, "how": "silent"}
	rules := set["rules"].(map[string]any)
	for name, value := range map[string]any{
		"coldFrom": 0.21, "fallUs": 3000000, "stopSendingWithinUs": 1000000, "warmAfterUs": 12000000,
	} {
		rules[name] = value
	}
	set["tiers"], set["weights"] = []string{"partners"}, "nominal"
}

// rateCase: a partner that refused some calls above its limit, when messages came in a clump, gets no call any more
// after some 24,000 further deliveries.
func rateCase(b *bench) {
	spanBegin, inSpan, refusals := time.Now(), 0, 0
	e := b.newEndpoint(func() callAnswer {
		for time.Since(spanBegin) >= span {
			spanBegin, inSpan = spanBegin.Add(span), 0
		}
		if inSpan++; inSpan <= limitPerSecond*int(span/time.Second) {
			return callAnswer{after: serviceTime, status: http.StatusOK}
		}
		if refusals++; refusals%silentEvery == 0 {
			b.note("a call is above the limit, refusal %d: 503", refusals)
			return callAnswer{status: http.StatusServiceUnavailable}
		}
		waitMs := time.Until(spanBegin.Add(span)).Milliseconds() + 1
		b.note("a call is above the limit, refusal %d: 429, wait %d ms", refusals, waitMs)
		return callAnswer{status: http.StatusTooManyRequests, waitMs: waitMs}
	})
	a := b.newAgent([]host{{
		Host: "s-1", Dial: e.addr, Site: "building-a", Class: "major-partner", Block: 7, Health: "active",
		Share: limitPerSecond,
	}})
	listen := b.freePort()
	p := b.start("n1", b.platformEnv("n1", listen, b.folder("state"), a, settings(bangna)))
	b.waitReady(p, listen)

	extra := clump{}
	if b.trouble { // as many as the partner takes in 1.8 s
		extra = clump{begin: 3 * time.Second, length: time.Second, size: 800}
	}
	began := time.Now()
	t := b.handIn(listen, messagesPerSecond, clientConns, extra, func(n int) string {
		return fmt.Sprintf("c=order-update,d=16000,dest=7,k=%016x", n)
	})
	noted := began
	for time.Since(began) < longestTraffic {
		time.Sleep(100 * time.Millisecond)
		calls := e.seen()
		if time.Since(noted) > 10*time.Second {
			noted = time.Now()
			b.note("handed in %d, calls at the endpoint %d", t.count(), len(calls))
		}
		if len(calls) > 0 && time.Since(calls[len(calls)-1].at) > silence+500*time.Millisecond {
			b.note("no call for %v, after %d calls", silence+500*time.Millisecond, len(calls))
			break
		}
	}
	sent := t.end()
	b.note("the clients stop; the ends of the last messages are awaited")
	time.Sleep(16300 * time.Millisecond)
	judgeSilence(b, p, a, sent, e)
}
