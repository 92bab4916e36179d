package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validPlatform = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":100,"sockets":200,"disk_mb":2},"known":{"seq":41,"whole":true,"hosts":
 [{"host":"s","dial":"127.0.0.1:3","block":3,"health":"active"}]},
 "settings":{"lanes":[{"name":"a","effect":"once","hardLimitUs":9}],"familyInfo":{"workers":2},"caps":{"openCap":5}}}`

// load loads a configuration from the text of the platform's file, of an appliance's file (either may be empty: no such
// file) and environment variables. The state folder is a new one, unless env names another.
func load(t *testing.T, platform, appliance string, env map[string]string) (Config, error) {
	t.Helper()
	dir := t.TempDir()
	all := map[string]string{"LB_STATE": dir}
	file := ""
	for name, text := range map[string]string{"config.json": platform, "appliance.toml": appliance} {
		if text == "" {
			continue
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if name == "config.json" {
			all["LB_CONFIG"] = path
		} else {
			file = path
		}
	}
	for k, v := range env {
		all[k] = v
	}
	return Load(func(k string) string { return all[k] }, file)
}

// The platform's file is read, and LB_NAME takes precedence over its name.
func TestPlatform(t *testing.T) {
	c, err := load(t, validPlatform, "", map[string]string{"LB_NAME": "n4"})
	if err != nil || c.Name != "n4" || c.Limits.DiskMB != 2 || c.Settings.Limits.MaxMessages != 5 ||
		c.Endpoints.Hosts[0].Block != 3 ||
		uint64(c.Seed) != 0x8c1f30d27a5be964 || c.AMQP.Listen != "" || c.Console.Socket != "" {
		t.Fatal(c, err)
	}
}

// The platform's file takes precedence over LB_DISCOVERY: when the registry moves while the sender runs, the file
// changes and the environment keeps the old address.
func TestDiscoveryOfTheFileCounts(t *testing.T) {
	env := map[string]string{"LB_DISCOVERY": "127.0.0.1:9"}
	if c, err := load(t, validPlatform, "", env); err != nil || c.Discovery != "127.0.0.1:2" {
		t.Fatal(c.Discovery, err)
	}
	if c, err := load(t, strings.Replace(validPlatform, `"discovery":"127.0.0.1:2",`, "", 1), "", env); err != nil ||
		c.Discovery != "127.0.0.1:9" {
		t.Fatal(c.Discovery, err)
	}
}

// The shipped appliance file is valid. On the platform, an appliance's file may configure the AMQP front alone.
func TestShippedAppliance(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/appliance.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := load(t, "", string(raw), nil)
	if err != nil || c.AMQP.Listen == "" || len(c.Settings.Classes) != 3 || len(c.Endpoints.Hosts) != 2 {
		t.Fatal(c, err)
	}
	if c, err = load(t, validPlatform, "[amqp]\nlisten = \"127.0.0.1:5\"\n", nil); err != nil ||
		c.AMQP.Listen != "127.0.0.1:5" {
		t.Fatal(c, err)
	}
}

// An invalid configuration is an error that names the key.
func TestBadKeys(t *testing.T) {
	const class = "[amqp]\nlisten=\"127.0.0.1:5\"\n[[class]]\nname=\"a\"\neffect=\"once\"\naim_ms=1\n" +
		"deadline_ms=2\nworth=1\n"
	const route = "[[route]]\nname=\"r\"\ndest=1\nproto=\"http\"\ndial=\"127.0.0.1:1\"\n"
	if _, err := load(t, "", class+route, nil); err != nil {
		t.Fatal(err)
	}
	swap := func(text, old, with string) string { return strings.Replace(text, old, with, 1) }
	for _, test := range []struct {
		platform, file string
		env            map[string]string
		key            string
	}{
		{validPlatform, "", map[string]string{"LB_STATE": "/nowhere"}, "LB_STATE"},
		{validPlatform, "", map[string]string{"LB_LISTEN": "x"}, "LB_LISTEN"},
		{swap(validPlatform, `"discovery":"127.0.0.1:2"`, `"discovery":"x"`), "", nil, "discovery"},
		{swap(validPlatform, `"discovery":"127.0.0.1:2",`, ""), "", map[string]string{"LB_DISCOVERY": "x"}, "LB_DISCOVERY"},
		{validPlatform, "", map[string]string{"LB_CONFIG": "/nowhere"}, "LB_CONFIG"},
		{"{", "", nil, "LB_CONFIG"},
		{swap(validPlatform, `"cores":0.5`, `"cores":"x"`), "", nil, "limits.cores"},
		{swap(validPlatform, `"cores":0.5`, `"cores":0`), "", nil, "limits.cores"},
		{swap(validPlatform, `"memory_mb":100`, `"memory_mb":1`), "", nil, "limits.memory_mb"},
		{swap(validPlatform, `"sockets":200`, `"sockets":2`), "", nil, "limits.sockets"},
		{swap(validPlatform, `"disk_mb":2`, `"disk_mb":0`), "", nil, "limits.disk_mb"},
		{swap(validPlatform, `"effect":"once"`, `"effect":"x"`), "", nil, "settings"},
		{swap(validPlatform, `"dial":"127.0.0.1:3"`, `"dial":""`), "", nil, "known.hosts[0]"},
		{swap(validPlatform, "8c1f", "zz"), "", nil, "LB_CONFIG"},
		{"", "nonsense", nil, "appliance.toml"},
		{"", class + route + "colour=1\n", nil, "route.colour"},
		{"", swap(class, "once", "x") + route, nil, "class[0].effect"},
		{"", swap(class, "aim_ms=1", "aim_ms=9") + route, nil, "class[0].deadline_ms"},
		{"", swap(class, "once", "by_key") + route, nil, "class[0].window_ms"},
		{"", swap(class, "worth=1", "worth=0") + route, nil, "class[0].worth"},
		{"", class, nil, "route"},
		{"", class + route + route, nil, "route[1].name"},
		{"", class + swap(route, "http", "ftp"), nil, "route[0].proto"},
		{"", class + swap(route, `"127.0.0.1:1"`, `"x"`), nil, "route[0].dial"},
		{"", class + swap(route, `"http"`, `"amqp"`), nil, "route[0].dial"},
		{"", "[limits]\nmemory_mb=27\n" + class + route, nil, "limits.memory_mb"}, // with an AMQP listener
		{"", class + swap(route, "dest", "kind=\"k\"\ndest"), nil, "route[0].kind"},
		{"", "[sender]\nslots=0\n" + class + route, nil, "sender"},
		{"", "[sender]\nsenders=0\n" + class + route, nil, "sender.senders"},
		{validPlatform, class + route, nil, "class, kind, route, sender"},
		{
			"", swap(class, "[[class", "user=\"u\"\n[[amqp.account]]\nname=\"a\"\ncertificate=\"c\"\n[[class") + route,
			nil, "amqp.user",
		},
		{
			"", swap(class, "[[class", "[[amqp.account]]\nname=\"a\"\npassword=\"plain\"\n[[class") + route, nil,
			"amqp.account[0].password",
		},
		{
			"", swap(class, "[[class", "[[amqp.account]]\nname=\"a\"\npassword=\"plain:x\"\n[[class") + route, nil,
			"amqp.account[0].password",
		},
		{"", swap(class, "[[class", "[[amqp.vhost]]\nname=\"\"\n[[class") + route, nil, "amqp.vhost[0].name"},
		{"", swap(class, "[[class", "[[amqp.vhost]]\nname=\"h\"\n[[amqp.vhost.permission]]\nuser=\"x\"\n[[class") +
			route, nil, "amqp.vhost[0].permission[0].user"},
		{"", swap(class, "[[class", "[amqp.tls]\ncert=\"c\"\n[[class") + route, nil, "amqp.tls.listen"},
		{"", swap(class, "[[class", "[amqp.tls]\nlisten=\"127.0.0.1:6\"\ncert=\"nowhere\"\nkey=\"nowhere\"\n"+
			"[[class") + route, nil, "amqp.tls"},
		{"", class + route + "[route.tls]\nca=\"x\"\n", nil, "route[0].tls"},
		{"", class + swap(swap(route, "http", "amqp"), "127.0.0.1:1", "amqps://h/?key=k") +
			"[route.tls]\nca=\"nowhere\"\n", nil, "route[0].tls"},
	} {
		_, err := load(t, test.platform, test.file, test.env)
		var ke *KeyError
		if !errors.As(err, &ke) || !strings.Contains(ke.Key, test.key) {
			t.Errorf("%s: %v", test.key, err)
		}
	}
}

// settings.replicasOfMe, the number of senders, may be any number that is not negative.
func TestNumberOfSenders(t *testing.T) {
	for n, ok := range map[string]bool{"0": true, "1": true, "3": true, "80": true, "10000": true, "-1": false} {
		_, err := load(t, strings.Replace(validPlatform, `"settings":{`, `"settings":{"replicasOfMe":`+n+`,`, 1), "", nil)
		var key *KeyError
		if ok != (err == nil) || !ok && (!errors.As(err, &key) || key.Key != "settings.replicasOfMe") {
			t.Errorf("%s senders: %v", n, err)
		}
	}
}

// A key of the settings that is out of its range or has the wrong type is an error that names the key. Missing and
// unknown keys are no errors.
func TestSettingsKeys(t *testing.T) {
	const base = `"settings":{`
	for _, c := range []struct{ more, key string }{
		{`"tickUs":-1,`, "settings.tickUs"},
		{`"caps":{"connectTimeoutUs":-1},`, "settings.caps.connectTimeoutUs"},
		{`"caps":{"keepaliveUs":9e15},`, "settings.caps.keepaliveUs"},
		{`"caps":{"maxAttempts":-1},`, "settings.caps.maxAttempts"},
		{`"caps":{"maxRetryAfterUs":-1},`, "settings.caps.maxRetryAfterUs"},
		{`"rules":{"coldFrom":1.5},`, "settings.rules.coldFrom"},
		{`"rules":{"fallMultiple":-2},`, "settings.rules.fallMultiple"},
		{`"rules":{"warmAfterUs":-2},`, "settings.rules.warmAfterUs"},
		{`"rules":{"stopSendingWithinUs":-2},`, "settings.rules.stopSendingWithinUs"},
		{`"rules":{"askWithinUs":"x"},`, "askWithinUs"},
		{`"customers":[{"name":"a","quotaPerS":-1}],`, "settings.customers[0].quotaPerS"},
		{`"caps":{},"rules":{},"report":{},`, ""},
		{`"somethingNew":{"a":[1,2]},`, ""},
	} {
		_, err := load(t, strings.Replace(validPlatform, base, base+c.more, 1), "", nil)
		var key *KeyError
		if c.key == "" && err != nil || c.key != "" && (!errors.As(err, &key) || !strings.Contains(err.Error(), c.key)) {
			t.Errorf("%s: %v", c.more, err)
		}
	}
	for _, c := range []struct{ old, with, key string }{
		{`"effect":"once"`, `"effect":"never"`, "settings.lanes[0].effect"},
		{`"effect":"once"`, `"effect":"once","worth":-1`, "settings.lanes[0].worth"},
		{`"effect":"once"`, `"effect":"once","windowUs":-1`, "settings.lanes[0].windowUs"},
		{`"effect":"once"`, `"effect":"once","lateValue":2`, "settings.lanes[0].lateValue"},
		{`"hardLimitUs":9`, `"hardLimitUs":0`, "settings.lanes[0].hardLimitUs"},
		{`"name":"a",`, ``, "settings.lanes[0].name"},
		{`"openCap":5`, `"openCap":-5`, "settings.caps.openCap"},
		{`{"name":"a","effect":"once","hardLimitUs":9}`, ``, "settings.lanes"},
		{`"workers":`, `"workers":-`, "settings.familyInfo.workers"},
	} {
		if !strings.Contains(validPlatform, c.old) {
			t.Fatal(c.old)
		}
		_, err := load(t, strings.Replace(validPlatform, c.old, c.with, 1), "", nil)
		var key *KeyError
		if !errors.As(err, &key) || key.Key != c.key {
			t.Errorf("%s: %v", c.with, err)
		}
	}
}
