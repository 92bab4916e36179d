package config

import (
	"github.com/BurntSushi/toml"
)

// The protocols of a route.
const (
	protoHTTP = "http"
	protoAMQP = "amqp"
)

// applianceFile is the configuration file of an appliance, in TOML.
type applianceFile struct {
	Name      string  `toml:"name"`
	State     string  `toml:"state"`
	Listen    string  `toml:"listen"`
	Discovery string  `toml:"discovery"`
	Control   string  `toml:"control"`
	Upgrade   bool    `toml:"upgrade"`
	Events    string  `toml:"events"`
	Limits    Limits  `toml:"limits"`
	AMQP      AMQP    `toml:"amqp"`
	Clients   Clients `toml:"clients"`
	Resp      Resp    `toml:"resp"`
	Console   Console `toml:"console"`
	Group     Group   `toml:"group"`
	Duty      []Duty  `toml:"duty"`
	Sender    struct {
		Senders      int   `toml:"senders"`  // that use the same destinations, including this one
		MaxCalls     int   `toml:"slots"`    // concurrent calls
		MaxPending   int   `toml:"hold"`     // pending messages
		Attempts     int   `toml:"attempts"` // the maximum for one message
		TickMs       int64 `toml:"tick_ms"`
		ConnectMs    int64 `toml:"connect_ms"`
		KeepaliveMs  int64 `toml:"keepalive_ms"`
		RetryAfterMs int64 `toml:"retry_after_max_ms"` // the longest Retry-After that is sent
	} `toml:"sender"`
	Class []Class `toml:"class"`
	Kind  []Kind  `toml:"kind"`
	Route []Route `toml:"route"`
}

// Class is a message class in an appliance's file.
type Class struct {
	Name        string  `toml:"name"`
	Effect      string  `toml:"effect"` // idempotent always (repeatable), by idempotency key (by_key) or never (once)
	ObjectiveMs int64   `toml:"aim_ms"` // the latency objective
	DeadlineMs  int64   `toml:"deadline_ms"`
	KeyWindowMs int64   `toml:"window_ms"`  // the idempotency window
	Worth       float64 `toml:"worth"`      // the priority weight
	LateWorth   float64 `toml:"late_worth"` // the share of the weight that remains at the deadline, from 0 to 1
}

// Kind is a kind of destination in an appliance's file.
type Kind struct {
	Name      string `toml:"name"`
	PerCall   int    `toml:"bundle"` // maximum number of messages in one call
	OwnLimits bool   `toml:"apart"`  // each route of a destination has its own limits, instead of sharing them
}

// Route is an egress target in an appliance's file.
type Route struct {
	Name  string `toml:"name"`
	Dest  int64  `toml:"dest"`
	Kind  string `toml:"kind,omitempty"`
	Proto string `toml:"proto"` // protoHTTP or protoAMQP
	Dial  string `toml:"dial"`
	Drain bool   `toml:"drain,omitempty"` // start no new attempts

	TLS *RouteTLS `toml:"tls,omitempty"`
}

// applianceDefaults returns the values of the keys that an appliance's file does not set. standalone means that there
// is no platform's file.
func (c *Config) applianceDefaults(standalone bool) applianceFile {
	file := applianceFile{
		Name: c.Name, State: c.State, Listen: c.Listen, Discovery: c.Discovery, Control: c.Control,
		Limits: c.Limits,
	}
	file.AMQP = AMQP{HeartbeatS: 10, Channels: 64, FirstTimeoutS: 10, FrameTimeoutS: 10}
	file.Resp = Resp{FirstTimeoutS: 10, CommandTimeoutS: 2}
	file.Group = Group{LeaseMs: 1000, Drift: 0.01, Weight: 1}
	if file.Clients = platformClients; standalone {
		file.Clients = applianceClients
	}
	file.Sender.Senders = 1
	file.Sender.MaxCalls = 16
	file.Sender.MaxPending = 200
	file.Sender.Attempts = 8
	file.Sender.TickMs = 5
	file.Sender.ConnectMs = 1500
	file.Sender.KeepaliveMs = 5000
	file.Sender.RetryAfterMs = 3000
	return file
}

// readApplianceFile reads an appliance's file. standalone means that there is no platform's file, so that this file
// provides the scheduler's settings too.
func (c *Config) readApplianceFile(path string, standalone bool) error {
	file := c.applianceDefaults(standalone)
	metadata, err := toml.DecodeFile(path, &file)
	if err != nil {
		return keyErrorf(path, "%w", err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return keyErrorf(path+": "+unknown[0].String(), "is not a known key")
	}
	c.Name, c.State, c.Upgrade, c.Limits = file.Name, file.State, file.Upgrade, file.Limits
	c.Listen, c.Discovery, c.Control = file.Listen, file.Discovery, file.Control
	c.AMQP, c.Console, c.Clients, c.Resp = file.AMQP, file.Console, file.Clients, file.Resp
	if metadata.IsDefined("events") {
		if err := c.setEvents(path+": events", file.Events); err != nil {
			return err
		}
	}
	if err := c.readGroup(path, file.Group, file.Duty, metadata.IsDefined("group"), standalone); err != nil {
		return err
	}
	if err := c.setAccessPolicy(path); err != nil {
		return err
	}
	if err := c.loadTLS(path, file.Route); err != nil {
		return err
	}
	if !standalone {
		if len(file.Class)+len(file.Kind)+len(file.Route) > 0 || metadata.IsDefined("sender") {
			return keyErrorf(path+": class, kind, route, sender", "are set by the platform where LB_CONFIG is set")
		}
		return nil
	}
	return c.applianceSettings(path, &file)
}
