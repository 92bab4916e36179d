package hotrestart

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Malformed messages must be reported as errors, without a hang or a panic.
func FuzzMessages(f *testing.F) {
	f.Add(`{"Kind":"hello","Version":1}` + "\n" + `{"Kind":"offer","N":1,"Offer":{"ID":"a","Body":"eA=="}}`)
	f.Add(`{"Kind":"state"}`)
	f.Add(`{"Kind":7}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		for range len(text) + 2 {
			msg, err := r.Next()
			if err != nil {
				if errors.Is(err, io.ErrNoProgress) {
					t.Fatal(err)
				}
				return
			}
			if msg.Kind == KindOffer && msg.Offer.Request().ID != msg.Offer.ID {
				t.Fatal("the request of an offer has another id than the offer")
			}
		}
		t.Fatal("the reader returns more messages than the text has bytes")
	})
}
