package config

import (
	"strings"
	"testing"
)

const groupSection = `[group]
name = "a"
listen = "127.0.0.1:7100"
members = ["a=127.0.0.1:7100", "b=127.0.0.1:7101", "c=127.0.0.1:7102"]
`

const dutySections = `[[duty]]
name = "nightly"
kind = "call"
url = "http://127.0.0.1:9900/act"
every_ms = 200
longest_ms = 300
[[duty]]
name = "out"
kind = "return"
[[duty]]
name = "sixty"
kind = "limit"
dest = 1
per_s = 60
[[duty]]
name = "restarts"
kind = "roll"
[[duty]]
name = "journals"
kind = "verify"
every_ms = 1000
longest_ms = 200
`

// The section [group] and its duties are read, with their defaults, and the journal's size leaves space for the group's
// folder. Without the section there is no group.
func TestGroupSection(t *testing.T) {
	c, err := load(t, "",
		"[limits]\ndisk_mb = 16\n"+strings.TrimPrefix(smallAppliance, "[limits]\n")+groupSection+dutySections, nil)
	if err != nil {
		t.Fatal(err)
	}
	g := c.Group
	if !g.Enabled() || g.LeaseMs != 1000 || g.Drift != 0.01 || g.Voters["b"] != "127.0.0.1:7101" ||
		len(g.Duties) != 5 || g.Duties[3].ConcurrentRestarts != 1 ||
		g.Duties[3].MaxDowntimeMs != 60_000 || c.JournalMB() != 14 {
		t.Errorf("%+v, journal %v", g, c.JournalMB())
	}
	if c, err := load(t, "", smallAppliance, nil); err != nil || c.Group.Enabled() || c.JournalMB() != c.Limits.DiskMB {
		t.Errorf("%+v %v", c.Group, err)
	}
}

// An invalid value of each key is an error that names the key.
func TestGroupKeys(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(groupSection+dutySections, old, new, 1) }
	for text, key := range map[string]string{
		swap(`name = "a"`, `name = "a b"`):                                               "group.name",
		swap(`name = "a"`, ``):                                                           "group.name",
		swap(`"127.0.0.1:7100"`, `"10.0.0.1:7100"`):                                      "group.listen",
		swap(`"127.0.0.1:7100"`, `"7100"`):                                               "group.listen",
		swap(`"b=127.0.0.1:7101"`, `"b"`):                                                "group.members[1]",
		swap(`"b=127.0.0.1:7101"`, `"b=10.0.0.1:7"`):                                     "group.members[1]",
		swap(`"b=127.0.0.1:7101"`, `"a=127.0.0.1:7"`):                                    "group.members[1]",
		swap(`"b=127.0.0.1:7101", `, ``):                                                 "group.members",
		swap("members", "lease_ms = 100\nmembers"):                                       "group.lease_ms",
		swap("members", "drift = 0.3\nmembers"):                                          "group.drift",
		swap("members", "drift = nan\nmembers"):                                          "group.drift",
		swap("members", "weight = -1\nmembers"):                                          "group.weight",
		swap("members", "wait = 1\nmembers"):                                             "group.wait",
		swap(`"nightly"`, `"night/ly"`):                                                  "duty[0].name",
		swap(`"out"`, `"nightly"`):                                                       "duty[1].name",
		swap(`"call"`, `"cal"`):                                                          "duty[0].kind",
		swap(`"verify"`, `"return"`):                                                     "duty[4].every_ms",
		swap("http://127.0.0.1:9900", "https://127.0.0.1:9900"):                          "duty[0].url",
		swap("http://127.0.0.1:9900", "http://10.0.0.1:9900"):                            "duty[0].url",
		swap("every_ms = 200", "every_ms = 1"):                                           "duty[0].every_ms",
		swap("longest_ms = 300", "longest_ms = 600"):                                     "duty[0].longest_ms",
		swap(`kind = "return"`, "kind = \"return\"\ndest = 1"):                           "duty[1].dest",
		swap("per_s = 60", "per_s = 0"):                                                  "duty[2].per_s",
		swap("per_s = 60", "per_s = 1e9"):                                                "duty[2].per_s",
		swap(`kind = "roll"`, "kind = \"roll\"\nat_once = 200"):                          "duty[3].at_once",
		swap(`kind = "roll"`, "kind = \"roll\"\nout_ms = 5"):                             "duty[3].out_ms",
		swap(`name = "restarts"`+"\nkind = \"roll\"", "name = \"r\"\nkind = \"return\""): "duty[3].kind",
		swap(`name = "restarts"`+"\nkind = \"roll\"", "name = \"r\"\nkind = \"limit\"\ndest = 1\nper_s = 3"): "duty[3].dest",
		dutySections:                 "duty",
		swap("dest = 1", "dest = 9"): "duty[2].dest",
		groupSection + dutySections +
			"[[kind]]\nname = \"k\"\napart = true\n[[route]]\nname = \"r2\"\nkind = \"k\"\ndest = 1\n" +
			"proto = \"http\"\ndial = \"127.0.0.1:3\"\n": "duty[2].dest",
	} {
		file := "[limits]\ndisk_mb = 16\n" + strings.TrimPrefix(smallAppliance, "[limits]\n") + text
		if _, err := load(t, "", file, nil); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v, want %s", text, err, key)
		}
	}
	if _, err := load(t, "", smallAppliance+groupSection, nil); err == nil ||
		!strings.Contains(err.Error(), "limits.disk_mb") {
		t.Errorf("too little disk space for the group's folder: %v", err)
	}
	if _, err := load(t, validPlatform, groupSection, nil); err == nil || !strings.Contains(err.Error(), "group") {
		t.Errorf("a group on the platform: %v", err)
	}
}
