// Package config reads and checks the configuration and sets its defaults. It has up to three sources: the JSON file
// of the platform that runs the sender (LB_CONFIG names it), the TOML file of an appliance, and the environment. An
// appliance is a sender that an operator runs without the platform; a sender of the platform may have a TOML file too,
// for an AMQP front, say.
package config

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"brackendale/internal/access"
	"brackendale/internal/eventlog"
	"brackendale/scheduler"
)

// EnvState is the environment variable that names the state folder.
const EnvState = "LB_STATE"

// The other environment variables of the configuration.
const (
	envConfig    = "LB_CONFIG" // the path of the platform's configuration file
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envDiscovery = "LB_DISCOVERY"
	envControl   = "LB_CONTROL"
	envEvents    = "LB_EVENTS"    // the level of the record of events
	envAcceptFD  = "LB_ACCEPT_FD" // the descriptor of an inherited listening socket
)

// minAcceptFD is the first descriptor after the standard streams.
const minAcceptFD = 3

// Limits are the resources of the machine that the sender may use. Sockets counts file descriptors of any kind.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB float64 `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
	DiskMB   float64 `json:"disk_mb" toml:"disk_mb"`
}

// The least memory with which hundreds of clients with unfinished commands, or AMQP clients with unfinished frames, can
// be held, in megabytes.
const (
	minMemoryMB     = 24
	minAMQPMemoryMB = 28
)

// EndpointList is the registry's endpoint list, or an update of it.
type EndpointList struct {
	Seq   int64  `json:"seq"`   // the version of the list
	Whole bool   `json:"whole"` // Hosts is the complete list, not an update
	Hosts []Host `json:"hosts"`
}

// Host is one endpoint of the list.
type Host struct {
	Host   string  `json:"host"` // the endpoint's id
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`  // the zone
	Class  string  `json:"class"` // the machine type, or the kind of an appliance's route
	Block  int64   `json:"block"` // the destination
	Health string  `json:"health"`
	Share  float64 `json:"share"` // the capacity hint
	Proto  string  `json:"-"`     // http or amqp for an appliance's route; empty: the platform's own protocol
}

// JournalMB returns the maximum size of the journal in the state folder, in megabytes.
func (c *Config) JournalMB() float64 {
	if c.Group.Enabled() {
		return c.Limits.DiskMB - groupDiskMB
	}
	return c.Limits.DiskMB
}

// Console configures the local control socket; without a path there is none.
type Console struct {
	Socket string `toml:"socket"`
}

// Config is the complete configuration of a sender.
type Config struct {
	Name  string
	State string // the path of the state folder

	Listen    string // the address of the platform's ingress; empty: none
	Discovery string // the address of the registry; empty: none
	Control   string // the address of the HTTP admin server; empty: none
	AcceptFD  int    // an inherited listening socket for clients; 0: this process opens its own
	Upgrade   bool   // hot restart: a new process may take over from this one while it serves

	Seed      Seed
	Limits    Limits
	Endpoints EndpointList // the endpoint list at the start
	Settings  scheduler.Settings

	AMQP       AMQP
	Policy     *access.Policy // the access policy of the AMQP ingress
	TLSConfigs TLSConfigs
	Clients    Clients
	Resp       Resp

	Console Console
	Group   Group

	Events eventlog.Level // of the record of events
}

// Seed is a random seed, written in hexadecimal.
type Seed int64

// UnmarshalJSON reads a string of up to sixteen hexadecimal digits.
func (s *Seed) UnmarshalJSON(raw []byte) error {
	text := strings.Trim(string(raw), `"`)
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("not hexadecimal: %q", text)
	}
	*s = Seed(n)
	return nil
}

// KeyError reports an invalid value of a configuration key.
type KeyError struct {
	Key string
	Err error
}

// Error returns the key and what is wrong with its value.
func (e *KeyError) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted cause.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{key, fmt.Errorf(format, args...)}
}

// Load reads the platform's file that LB_CONFIG names, the appliance's file at appliancePath if that is not empty, and
// the environment. A later source takes precedence over an earlier one, except for the registry's address: the
// platform changes the address in its file while the process runs, and the environment still has the old one. So
// LB_DISCOVERY is used only if no file names a registry.
func Load(getenv func(string) string, appliancePath string) (Config, error) {
	c := Config{Name: "brackendale", Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}}
	c.Events = eventlog.Record
	if path := getenv(envConfig); path != "" {
		if err := c.readPlatformFile(path); err != nil {
			return c, err
		}
	}
	c.Clients = platformClients
	if appliancePath != "" {
		if err := c.readApplianceFile(appliancePath, getenv(envConfig) == ""); err != nil {
			return c, err
		}
	}
	for key, field := range map[string]*string{
		envName: &c.Name, envListen: &c.Listen,
		envDiscovery: &c.Discovery, EnvState: &c.State, envControl: &c.Control,
	} {
		if v := getenv(key); v != "" && (key != envDiscovery || c.Discovery == "") {
			*field = v
		}
	}
	if v := getenv(envEvents); v != "" {
		if err := c.setEvents(envEvents, v); err != nil {
			return c, err
		}
	}
	if v := getenv(envAcceptFD); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < minAcceptFD {
			return c, keyErrorf(envAcceptFD, "%q is not a descriptor number of 3 or more", v)
		}
		c.AcceptFD, c.Upgrade = n, true
	}
	return c, c.check()
}

// setEvents sets the level of the record of events, which key has.
func (c *Config) setEvents(key, name string) error {
	level, err := eventlog.ParseLevel(name)
	if err != nil {
		return keyErrorf(key, "%w", err)
	}
	c.Events = level
	return nil
}

// check returns an error for the first invalid value of the whole configuration.
func (c *Config) check() error {
	if info, err := os.Stat(c.State); c.State == "" || err != nil || !info.IsDir() {
		return keyErrorf(EnvState, "%q is not a folder: set it to the persistent state folder", c.State)
	}
	for _, address := range []struct {
		key, value string
		required   bool
	}{
		{envListen, c.Listen, !c.AMQP.Serves() && c.Resp.Listen == ""},
		{"discovery (LB_DISCOVERY)", c.Discovery, c.Listen != ""},
		{"amqp.listen", c.AMQP.Listen, false},
		{"control (LB_CONTROL)", c.Control, false},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil && (address.required || address.value != "") {
			return keyErrorf(address.key, "%q: %w", address.value, err)
		}
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if err := c.checkClients(); err != nil {
		return err
	}
	if err := checkSettings(&c.Settings); err != nil {
		return err
	}
	if _, err := scheduler.New(c.Settings, 0); err != nil {
		return keyErrorf("settings", "%w", err)
	}
	for i, h := range c.Endpoints.Hosts {
		if h.Host == "" || h.Dial == "" {
			return keyErrorf(fmt.Sprintf("known.hosts[%d]", i), "has no host or no dial")
		}
	}
	return nil
}

// checkLimits checks the section [limits], and the limits of AMQP connections.
func (c *Config) checkLimits() error {
	limits := c.Limits
	leastMemoryMB := minMemoryMB
	if c.AMQP.Serves() {
		leastMemoryMB = minAMQPMemoryMB
	}
	switch {
	case !(limits.Cores > 0):
		return keyErrorf("limits.cores", "%v is not above 0", limits.Cores)
	case !(limits.MemoryMB >= float64(leastMemoryMB)):
		return keyErrorf("limits.memory_mb", "%v is under %d", limits.MemoryMB, leastMemoryMB)
	case limits.Sockets < 32:
		return keyErrorf("limits.sockets", "%d is under 32", limits.Sockets)
	case !(limits.DiskMB >= 0.05):
		return keyErrorf("limits.disk_mb", "%v is under 0.05", limits.DiskMB)
	case c.AMQP.Serves() && (c.AMQP.Channels < 1 || c.AMQP.Channels > 2047):
		return keyErrorf("amqp.channels", "%d is not from 1 to 2047", c.AMQP.Channels)
	case c.AMQP.HeartbeatS < 0 || c.AMQP.HeartbeatS > 3600:
		return keyErrorf("amqp.heartbeat_s", "%d is not from 0 to 3600", c.AMQP.HeartbeatS)
	}
	return nil
}
