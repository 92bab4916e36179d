package platform

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"
)

// maxCloseDelay is the time within which the protocol requires that a client without a complete command gets an error
// or is disconnected.
const maxCloseDelay = 3 * time.Second

// Clients that send nothing are disconnected within the time that the protocol requires, however many they are. They
// are disconnected in batches; the timer's slack between two batches once added up.
func TestManyClientsWithoutCommand(t *testing.T) {
	const clients = 700
	env := newTestEnv(t)
	env.maxClients = 2 * clients
	addr, _ := env.startSender()
	var pending sync.WaitGroup
	for i := range clients {
		c := dialClient(t, addr)
		start := time.Now()
		pending.Add(1)
		go func() {
			defer pending.Done()
			if _, err := c.readLine(); !errors.Is(err, io.EOF) || time.Since(start) > maxCloseDelay {
				t.Errorf("client %d: %v after %v", i, err, time.Since(start))
			}
		}()
	}
	pending.Wait()
}
