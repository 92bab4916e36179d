package platform

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"
)

// badClientLimit is the time in which a client that sends no whole command is owed an error or a close.
const badClientLimit = 3 * time.Second

// Silent clients are closed within the page's time, however many they are: their ends in portions once waited for the
// timer's slack between two portions.
func TestManySilentClients(t *testing.T) {
	const silent = 700
	w := newWorld(t)
	w.most = 2 * silent
	addr, _ := w.start()
	var wg sync.WaitGroup
	for i := range silent {
		c := dialRaw(t, addr)
		began := time.Now()
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := c.line(); !errors.Is(err, io.EOF) || time.Since(began) > badClientLimit {
				t.Errorf("client %d: %v after %v", i, err, time.Since(began))
			}
		}()
	}
	wg.Wait()
}
