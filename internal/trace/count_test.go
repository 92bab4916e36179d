package trace

import (
	"strings"
	"testing"
)

func TestCallsAreSummedOverSenders(t *testing.T) {
	c := New(100_000)
	for _, text := range []string{
		"0.017 {\"message\":\"serving\"}\n1.0 trace 1000000 n1 a:m1:safe:t:7:900 a:m2:safe:t:7:900 i:m1:h:80:7:500 i:m2:h:80:7:500\n" +
			"trace 1050000 n1 r:m1:0:h:80:GOOD:0:0.5,40 r:m2:0:h:80:GOOD:0:0.5,40 t:h:80\n",
		"trace 1010000 n2 l:whole:3 a:m3:safe:t:7:900:held i:m3:h:80:7:500\ntrace 1120000 n2 r:m3:0:h:80:FULL:0: p:m3:200\n" +
			"trace 1130000 n2 i:m3:h:80:7:500\ntrace 1140000 n2 r:m3:1:h:80:FULL:300:0,40 x:m3:1 f:m3\n",
	} {
		if err := c.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := c.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := "dest 7      0.0 s  in 3 held 1 calls 2 back 0 failed 0 GOOD 1\n" +
		"dest 7      0.1 s  in 0 held 0 calls 1 back 1 failed 1 DOOR 1 FULL 1 waits 1\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if c.Read(strings.NewReader("trace 5 n1 i:m1:h:80:seven:1\n")) == nil {
		t.Error("a word that makes no sense was taken")
	}
}
