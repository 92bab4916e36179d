package config

import (
	"fmt"
	"net"
	"slices"

	"brackendale/internal/net/amqp"
	"brackendale/scheduler"
)

const (
	maxSenders         = 10_000 // that use the same destinations
	maxMessagesPerCall = 64
)

// The values of an endpoint's health in the registry's list.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
)

const usPerMs = 1000

// entryKey returns the full name of a key in one entry of a list in the file at path, for an error.
func entryKey(path, list string, index int, name string) string {
	return fmt.Sprintf("%s: %s[%d].%s", path, list, index, name)
}

// applianceSettings sets the scheduler's settings and the endpoint list from an appliance's file.
func (c *Config) applianceSettings(path string, file *applianceFile) error {
	c.senderSettings(file)
	if file.Sender.MaxCalls < 1 || file.Sender.MaxPending < 1 || file.Sender.Attempts < 1 || c.Settings.TickUs < usPerMs {
		return keyErrorf(path+": sender", "slots, hold, attempts and tick_ms must be 1 or more")
	}
	if file.Sender.Senders < 1 || file.Sender.Senders > maxSenders {
		return keyErrorf(path+": sender.senders", "%d is not from 1 to %d", file.Sender.Senders, maxSenders)
	}
	if err := c.addClasses(path, file.Class); err != nil {
		return err
	}
	if err := c.addKinds(path, file.Kind); err != nil {
		return err
	}
	if err := c.addRoutes(path, file); err != nil {
		return err
	}
	return checkGroupLimits(path, file)
}

// senderSettings applies the section [sender], and sets the constants that an appliance's file has no key for.
func (c *Config) senderSettings(file *applianceFile) {
	settings := &c.Settings
	settings.Senders = file.Sender.Senders
	settings.Discovery = scheduler.DiscoveryPushed
	settings.CapacityHints = scheduler.HintsNone
	settings.OverQuotaWeight = 1
	settings.TickUs = file.Sender.TickMs * usPerMs

	settings.Calls.ConcurrentCalls = file.Sender.MaxCalls
	settings.Calls.ValueDecay = scheduler.DecayHalving

	settings.Limits.MaxMessages = file.Sender.MaxPending
	settings.Limits.MaxAttempts = file.Sender.Attempts
	settings.Limits.CanCancel = true
	settings.Limits.CanSendRetryAfter = true
	settings.Limits.ConnectTimeoutUs = file.Sender.ConnectMs * usPerMs
	settings.Limits.KeepAliveUs = file.Sender.KeepaliveMs * usPerMs
	settings.Limits.MaxRetryAfterUs = file.Sender.RetryAfterMs * usPerMs
	settings.Limits.StreamsPerConnection = 1

	settings.Rules.SlowStartInitialShare = 0.2
	settings.Rules.OverloadMultiple = 2
	settings.Rules.OverloadWindowUs = 2_000_000
	settings.Rules.SlowStartUs = 13_000_000
	settings.Rules.DrainWithinUs = 2_000_000
}

// addClasses checks the classes and adds them to the settings.
func (c *Config) addClasses(path string, classes []Class) error {
	for i, class := range classes {
		if err := checkClass(path, i, class); err != nil {
			return err
		}
		c.Settings.Classes = append(c.Settings.Classes, scheduler.Class{
			Name:               class.Name,
			Idempotency:        scheduler.Idempotency(class.Effect),
			KeyScope:           scheduler.KeyScopeAll,
			LatencyObjectiveUs: class.ObjectiveMs * usPerMs,
			DeadlineUs:         class.DeadlineMs * usPerMs,
			KeyWindowUs:        class.KeyWindowMs * usPerMs,
			PriorityWeight:     class.Worth,
			LateValue:          class.LateWorth,
		})
	}
	if len(classes) == 0 {
		return keyErrorf(path+": class", "is missing: at least one class is required")
	}
	return nil
}

func checkClass(path string, index int, class Class) error {
	idempotency := scheduler.Idempotency(class.Effect)
	switch {
	case class.Name == "":
		return keyErrorf(entryKey(path, "class", index, "name"), "is missing")
	case !slices.Contains(idempotencies, idempotency):
		return keyErrorf(entryKey(path, "class", index, "effect"), "%q is not one of repeatable, by_key, once", class.Effect)
	case class.DeadlineMs <= 0 || class.ObjectiveMs <= 0 || class.ObjectiveMs > class.DeadlineMs:
		return keyErrorf(entryKey(path, "class", index, "deadline_ms"),
			"and aim_ms must be above 0, and aim_ms not above deadline_ms")
	case idempotency == scheduler.IdempotentByKey && class.KeyWindowMs <= 0:
		return keyErrorf(entryKey(path, "class", index, "window_ms"), "is missing: the time in which duplicates are dropped")
	case !(class.Worth > 0) || !(class.LateWorth >= 0 && class.LateWorth <= 1):
		return keyErrorf(entryKey(path, "class", index, "worth"), "must be above 0, and late_worth from 0 to 1")
	}
	return nil
}

// addKinds checks the kinds of destinations and adds them to the settings, followed by the kind without a name, which
// is for the routes without a kind.
func (c *Config) addKinds(path string, kinds []Kind) error {
	settings := &c.Settings
	for i, kind := range append(kinds, Kind{Name: "", PerCall: 1}) {
		if kind.PerCall < 0 || kind.PerCall > maxMessagesPerCall {
			return keyErrorf(entryKey(path, "kind", i, "bundle"), "%d is not from 1 to %d", kind.PerCall, maxMessagesPerCall)
		}
		settings.MachineTypes = append(settings.MachineTypes, kind.Name)
		settings.Calls.MessagesPerCall = append(settings.Calls.MessagesPerCall, max(1, kind.PerCall))
		settings.Calls.EndpointLimits = append(settings.Calls.EndpointLimits, kind.OwnLimits)
	}
	return nil
}

// addRoutes checks the routes and sets the endpoint list from them. A file has either routes or a registry.
func (c *Config) addRoutes(path string, file *applianceFile) error {
	if len(file.Route) > 0 && file.Discovery != "" {
		return keyErrorf(path+": route", "cannot be combined with discovery, whose endpoint list replaces the routes")
	}
	names := map[string]bool{}
	for i, route := range file.Route {
		if route.Name == "" || names[route.Name] {
			return keyErrorf(entryKey(path, "route", i, "name"), "%q is missing or a duplicate", route.Name)
		}
		if err := checkRoute(path, i, route, file.Kind); err != nil {
			return err
		}
		names[route.Name] = true
		health := healthActive
		if route.Drain {
			health = healthLeaving
		}
		c.Endpoints.Hosts = append(c.Endpoints.Hosts, Host{
			Host:   route.Name,
			Dial:   route.Dial,
			Class:  route.Kind,
			Block:  route.Dest,
			Health: health,
			Share:  1,
			Proto:  route.Proto,
		})
	}
	if len(file.Route) == 0 && file.Discovery == "" {
		return keyErrorf(path+": route", "is missing: at least one route or a registry (discovery) is required")
	}
	return nil
}

func checkRoute(path string, index int, route Route, kinds []Kind) error {
	known := route.Kind == "" || slices.ContainsFunc(kinds, func(k Kind) bool { return k.Name == route.Kind })
	if !known {
		return keyErrorf(entryKey(path, "route", index, "kind"), "%q is not the name of a [[kind]]", route.Kind)
	}
	var err error
	switch route.Proto {
	case protoHTTP:
		_, _, err = net.SplitHostPort(route.Dial)
	case protoAMQP:
		_, err = amqp.ParseURL(route.Dial)
	default:
		return keyErrorf(entryKey(path, "route", index, "proto"), "%q is neither http nor amqp", route.Proto)
	}
	if err != nil {
		return keyErrorf(entryKey(path, "route", index, "dial"), "%w", err)
	}
	return nil
}

// checkGroupLimits checks that each duty of the kind limit names a destination of the file, and one whose routes share
// their limits: a group's limit has no effect on routes with limits of their own.
func checkGroupLimits(path string, file *applianceFile) error {
	for i, duty := range file.Duty {
		if duty.Kind != DutyLimit {
			continue
		}
		known := file.Discovery != ""
		for _, route := range file.Route {
			if route.Dest != duty.Dest {
				continue
			}
			known = true
			if slices.ContainsFunc(file.Kind, func(k Kind) bool { return k.Name == route.Kind && k.OwnLimits }) {
				return keyErrorf(fmt.Sprintf("%s: duty[%d].dest", path, i),
					"the routes of destination %d have limits of their own (kind %s)", duty.Dest, route.Kind)
			}
		}
		if !known {
			return keyErrorf(fmt.Sprintf("%s: duty[%d].dest", path, i), "no route has destination %d", duty.Dest)
		}
	}
	return nil
}
