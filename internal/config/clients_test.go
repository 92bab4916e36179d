package config

import (
	"strings"
	"testing"
)

const smallAppliance = `[limits]
sockets = 1000
[amqp]
listen = "127.0.0.1:1"
[[class]]
name = "a"
effect = "once"
aim_ms = 1
deadline_ms = 2
worth = 1
[[route]]
name = "r"
dest = 1
proto = "http"
dial = "127.0.0.1:2"
`

// By default clients may use 85 % of an appliance's descriptors and half of a platform sender's; the section [clients]
// changes that in both cases.
func TestSplitOfDescriptors(t *testing.T) {
	for _, test := range []struct {
		platform, appliance string
		clients, targets    int
	}{
		{"", smallAppliance, 850, 100},
		{"", "[clients]\nshare = 0.9\ntargets = 0.05\n" + smallAppliance, 900, 50},
		{validPlatform, "", 100, 80},
		{validPlatform, "[clients]\nshare = 0.25\n", 50, 80},
	} {
		c, err := load(t, test.platform, test.appliance, nil)
		if err != nil || c.ClientSockets() != test.clients || c.TargetSockets() != test.targets {
			t.Errorf("%q: %d %d %v", test.appliance, c.ClientSockets(), c.TargetSockets(), err)
		}
	}
}

// An invalid value of each key is an error that names the key.
func TestClientsKeys(t *testing.T) {
	for text, key := range map[string]string{
		"[clients]\nshare = 1.5\n":                  "clients.share",
		"[clients]\nshare = nan\n":                  "clients.share",
		"[clients]\nshare = 0.99\ntargets = 0.01\n": "clients.share",
		"[clients]\nshare = 0.8\ntargets = 0.3\n":   "clients.targets",
		"[clients]\ntargets = 0\n":                  "clients.targets",
		"[clients]\naccept_per_s = -1\n":            "clients.accept_per_s",
		"[clients]\nper_address = -1\n":             "clients.per_address",
		"[clients]\nper_adress = 1\n":               "clients.per_adress", //nolint:misspell // a misspelt key is refused
		"[resp]\nlisten = \"x\"\n":                  "resp.listen",
		"[resp]\nlisten = \"127.0.0.1:1\"\n":        "resp.finals",
		"[resp]\nidle_s = -1\n":                     "resp.idle_s",
		"[resp]\ncommand_s = inf\n":                 "resp.command_s",
		"listen = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\n" +
			"[resp]\nlisten = \"127.0.0.1:1\"\nfinals = \"127.0.0.1:2\"\n": "resp.listen",
	} {
		file := text + smallAppliance
		if strings.HasPrefix(text, "listen") {
			file = text + strings.Split(smallAppliance, "[[route]]")[0]
		}
		if _, err := load(t, "", file, nil); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, key := range []string{"first_s", "frame_s", "idle_s"} {
		text := strings.Replace(smallAppliance, "[amqp]\n", "[amqp]\n"+key+" = -1\n", 1)
		if _, err := load(t, "", text, nil); err == nil || !strings.Contains(err.Error(), "amqp."+key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
