package http1

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, test := range []struct {
		input  string
		eof    bool
		status int
		body   string
		closes bool
		err    error
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false, 200, "hello", false, nil},
		{"HTTP/1.1 204\r\n\r\n", false, 204, "", false, nil},
		{
			"HTTP/1.1 429 No\r\nx-backoff-ms:  250 \r\nConnection: Close\r\ncontent-length: 0\r\n\r\n", false, 429, "",
			true, nil,
		},
		{"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false, 200, "", true, nil},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 E\r\nContent-Length: 1\r\n\r\nx", false, 500, "x", false, nil},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n", false,
			200, "abcde", false, nil,
		},
		{"HTTP/1.1 200 OK\r\n\r\nto the end", true, 200, "to the end", true, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n", false, 0, "", false, ErrBody},
		{"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, 0, "", false, ErrBody},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false, 0, "", false, ErrBody},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, 0, "", false, ErrBody},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", false, 0, "", false, ErrBody},
		{"HTTP/2 200 OK\r\n\r\n", false, 0, "", false, ErrHead},
		{"HTTP/1.1 2x0 OK\r\n\r\n", false, 0, "", false, ErrHead},
		{"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHead), false, 0, "", false, ErrHead},
		// Malformed data on a connection that stays open once occupied a slot until the timeout: the first invalid
		// byte must be an error.
		{"\x00", false, 0, "", false, ErrHead},
		{"HTTP/1.1 20x", false, 0, "", false, ErrHead},
		{"HTTP/1.1 200 OK\n", false, 0, "", false, ErrHead},
		{"HTTP/1.1 200 OK\r\nno colon\r", false, 0, "", false, ErrHead},
		{"HTTP/1.1 200 OK\r\nA: \x01", false, 0, "", false, ErrHead},
		{"HTTP/1.1 200 OK\r\n\rx", false, 0, "", false, ErrHead},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterim+1), false, 0, "", false, ErrHead},
	} {
		var response Response
		used, err := response.Parse([]byte(test.input), test.eof)
		same := err == test.err //nolint:errorlint // the parser returns the error itself, not a wrapped one
		if !same || err == nil && (used != len(test.input) || response.Status != test.status ||
			string(response.Body) != test.body || response.Close != test.closes) {
			t.Errorf("%.60q: %d bytes read, %+v, %v", test.input, used, response, err)
		}
	}
	var response Response
	for input, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nhalf a head": 200, "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n": 200,
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 O": 0, "HTTP/1.1 200": 0,
	} {
		// A complete status line with 200 counts whatever follows it.
		if _, _ = response.Parse([]byte(input), true); response.Status != want {
			t.Errorf("%q: status %d", input, response.Status)
		}
	}
	if _, err := response.Parse([]byte("HTTP/1.1 429 No\r\nX-Backoff-Ms: 250\r\nX: 12345678901\r\nY: -4\r\n"+
		"Content-Length: 0\r\n\r\n"), false); err != nil ||
		response.Int("x-backoff-ms") != 250 || response.Int("X") != 0 || response.Int("Y") != 0 || response.Int("Z") != 0 {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	rng := rand.New(rand.NewSource(3))
	for i, valid := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSrv-Load: x0=1,x1=2\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		for range 20 {
			f.Add([]byte(valid[:rng.Intn(len(valid)+1)]), i == 0)
			noise := make([]byte, rng.Intn(40))
			rng.Read(noise)
			f.Add(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", noise, noise), true)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, eof bool) {
		var response, again Response
		used, err := response.Parse(data, eof)
		if used < 0 || used > len(data) || err != nil && used != 0 ||
			used > 0 && (response.Status < 200 || len(response.Body) > len(data)) {
			t.Fatal(used, err)
		}
		response.Get("Any")
		if used > 0 && !response.Close { // data after a complete response does not change it
			if usedAgain, err := again.Parse(
				append(append([]byte(nil), data[:used]...), "more"...), false,
			); usedAgain != used || err != nil || again.Status != response.Status {
				t.Fatal(usedAgain, used, err)
			}
		}
	})
}
