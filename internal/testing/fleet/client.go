package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// submitBatch is how many messages a client submits before it reads the replies.
const submitBatch = 16

// submitCommands returns RESP commands that submit one message of the class "safe" for each id.
func submitCommands(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString("*5\r\n")
		for _, argument := range []string{"SUBMIT", "0", id, "c=safe,t=x,d=20000,dest=1", "body"} {
			fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
		}
	}
	return text.String()
}

// Load submits messages for one destination to one sender until ctx ends, at the current value of ratePerS, in
// thousandths of a message per second. A message that is rejected or lost is not submitted again.
func Load(ctx context.Context, addr, name string, ratePerS *atomic.Int64) {
	var conn net.Conn
	var replies *bufio.Reader
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		rate := ratePerS.Load() // in thousandths of a message per second
		if rate <= 0 {
			next = time.Now().Add(10 * time.Millisecond)
		} else {
			next = next.Add(time.Duration(float64(time.Second) * 1000 / float64(rate)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		}
		if rate <= 0 {
			continue
		}
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				continue
			}
			conn, replies = dialed, bufio.NewReader(dialed)
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		id := name + "-" + strconv.Itoa(i)
		_, err := io.WriteString(conn, submitCommands(id))
		if err == nil {
			_, err = replies.ReadString('\n')
		}
		if err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}
