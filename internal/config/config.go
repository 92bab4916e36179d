// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"brackendale/logic"

	"github.com/BurntSushi/toml"
)

// Limits is what the machine gives the sender.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB float64 `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
	DiskMB   float64 `json:"disk_mb" toml:"disk_mb"`
}

// List is the registry's list of endpoints, whole or what changed.
type List struct {
	Seq   int64  `json:"seq" toml:"-"`
	Whole bool   `json:"whole" toml:"-"`
	Hosts []Host `json:"hosts" toml:"hosts"`
}

// Host is one entry of the list.
type Host struct {
	Host   string  `json:"host" toml:"host"`
	Dial   string  `json:"dial" toml:"dial"`
	Site   string  `json:"site" toml:"site"`
	Class  string  `json:"class" toml:"class"`
	Block  int64   `json:"block" toml:"block"`
	Health string  `json:"health" toml:"health"`
	Share  float64 `json:"share" toml:"share"`
	BornMs int64   `json:"born_ms" toml:"-"`
	// For targets that are no HTTP endpoints, in the appliance's file alone.
	Proto    string `json:"-" toml:"proto"`
	Exchange string `json:"-" toml:"exchange"`
	Key      string `json:"-" toml:"routing_key"`
}

// Config is everything that a sender is told.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	State     string         `json:"-"`
	Seed      Seed           `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     List           `json:"known"`
	Settings  logic.Settings `json:"settings"`
}

// Seed is a seed in hexadecimal.
type Seed int64

// UnmarshalJSON reads a string of up to sixteen hexadecimal digits, or a number.
func (s *Seed) UnmarshalJSON(b []byte) error {
	text := string(b)
	if len(b) > 1 && b[0] == '"' {
		text = text[1 : len(text)-1]
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("not hexadecimal: %q", text)
	}
	*s = Seed(n)
	return nil
}

// KeyError names the key that is at fault.
type KeyError struct {
	Key string
	Err error
}

func (e *KeyError) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *KeyError) Unwrap() error { return e.Err }

func fault(key, format string, args ...any) error {
	return &KeyError{key, fmt.Errorf(format, args...)}
}

// Load reads the environment, the platform's file that LB_CONFIG names, and the appliance's file, if
// one is given. The environment counts more than the platform's file.
func Load(env func(string) string, file string) (Config, error) {
	c := Config{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}}
	if path := env("LB_CONFIG"); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return c, fault("LB_CONFIG", "%w", err)
		}
		if err := json.Unmarshal(raw, &c); err != nil {
			var te *json.UnmarshalTypeError
			if errors.As(err, &te) {
				return c, fault("LB_CONFIG: "+te.Field, "holds a %s", te.Value)
			}
			return c, fault("LB_CONFIG", "%w", err)
		}
	}
	if file != "" {
		if err := c.appliance(file); err != nil {
			return c, err
		}
	}
	for key, field := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen,
		"LB_DISCOVERY": &c.Discovery, "LB_STATE": &c.State} {
		if v := env(key); v != "" {
			*field = v
		}
	}
	return c, c.check()
}

func (c *Config) appliance(file string) error {
	if _, err := toml.DecodeFile(file, c); err != nil {
		return fault(file, "%w", err)
	}
	return nil
}

func (c *Config) check() error {
	if c.State == "" {
		return fault("LB_STATE", "is not set: the folder that lasts")
	}
	if st, err := os.Stat(c.State); err != nil || !st.IsDir() {
		return fault("LB_STATE", "%q is not a folder", c.State)
	}
	for _, a := range []struct{ key, addr string }{{"LB_LISTEN", c.Listen}, {"LB_DISCOVERY", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fault(a.key, "%w", err)
		}
	}
	l := c.Limits
	switch {
	case !(l.Cores > 0):
		return fault("limits.cores", "%v is not above 0", l.Cores)
	case !(l.MemoryMB >= 16):
		return fault("limits.memory_mb", "%v is under 16", l.MemoryMB)
	case l.Sockets < 32:
		return fault("limits.sockets", "%d is under 32", l.Sockets)
	case !(l.DiskMB >= 0.25):
		return fault("limits.disk_mb", "%v is under 0.25", l.DiskMB)
	}
	if len(c.Settings.Lanes) == 0 {
		return fault("settings.lanes", "names no class")
	}
	if _, err := logic.New(c.Settings, 0); err != nil {
		return fault("settings", "%w", err)
	}
	for i, h := range c.Known.Hosts {
		if h.Host == "" || h.Dial == "" {
			return fault(fmt.Sprintf("known.hosts[%d]", i), "has no host or no dial")
		}
	}
	return nil
}
