package config

import (
	"encoding/json"
	"errors"
	"os"

	"brackendale/internal/settings"
)

// platformFile is the platform's configuration file, in JSON, which LB_CONFIG names.
type platformFile struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Control   string            `json:"control"`
	Seed      Seed              `json:"seed"`
	Limits    Limits            `json:"limits"`
	Endpoints EndpointList      `json:"known"`
	Settings  settings.Settings `json:"settings"`
	Events    string            `json:"events"`
}

// readPlatformFile reads the platform's file into the configuration. name and limits keep their values where the file
// does not set them.
func (c *Config) readPlatformFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return keyErrorf(envConfig, "%w", err)
	}
	file := platformFile{Name: c.Name, Limits: c.Limits}
	if err := json.Unmarshal(raw, &file); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return keyErrorf(envConfig+": "+wrongType.Field, "cannot be a %s", wrongType.Value)
		}
		return keyErrorf(envConfig, "%w", err)
	}
	c.Name, c.Listen, c.Discovery, c.Control = file.Name, file.Listen, file.Discovery, file.Control
	c.Seed, c.Limits, c.Endpoints = file.Seed, file.Limits, file.Endpoints
	c.Settings = file.Settings.Scheduler()
	return c.setEvents("events", file.Events)
}
