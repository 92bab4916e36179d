// Package settings converts between the JSON form of the settings, which has the protocol's keys, and the settings of
// the scheduler. The platform's configuration file and the simulator's first message use the JSON form. A field has the
// same Go name in both forms; its tag is the protocol's key.
package settings

import "brackendale/scheduler"

// Settings is the wire form of scheduler.Settings. Keys that are not listed here are ignored.
type Settings struct {
	Zone            string     `json:"az"`
	Zones           []string   `json:"zones"`
	Senders         int        `json:"replicasOfMe"`
	SenderIndex     int        `json:"rank"`
	TickUs          int64      `json:"tickUs"`
	Discovery       string     `json:"discovery"`
	CapacityHints   string     `json:"weights"`
	MachineTypes    []string   `json:"machineTypes"`
	OverQuotaWeight float64    `json:"overShareWorth"`
	Classes         []Class    `json:"lanes"`
	Tenants         []Tenant   `json:"customers"`
	Limits          Limits     `json:"caps"`
	Costs           Costs      `json:"charges"`
	Calls           Calls      `json:"familyInfo"`
	LoadReport      LoadReport `json:"report"`
	Rules           Rules      `json:"rules"`
}

// Tenant is the wire form of scheduler.Tenant.
type Tenant struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"quotaPerS"`
}

// Limits is the wire form of scheduler.Limits.
type Limits struct {
	CanCancel            bool  `json:"cancel"`
	ConnectTimeoutUs     int64 `json:"connectTimeoutUs"`
	KeepAliveUs          int64 `json:"keepaliveUs"`
	MaxAttempts          int   `json:"maxAttempts"`
	MaxRetryAfterUs      int64 `json:"maxRetryAfterUs"`
	MaxMessages          int   `json:"openCap"`
	HealthChecks         bool  `json:"probes"`
	CanSendRetryAfter    bool  `json:"retryAfter"`
	HedgedRequests       bool  `json:"secondCopies"`
	StreamsPerConnection int   `json:"streamsPerConn"`
}

// Costs is the wire form of scheduler.Costs.
type Costs struct {
	Handshake     float64 `json:"handshake"`
	CrossZone     float64 `json:"crossZone"`
	WastedAttempt float64 `json:"waste"`
}

// Calls is the wire form of scheduler.Calls.
type Calls struct {
	ZoneFees        []float64 `json:"carriage"`
	ValueDecay      string    `json:"decay"`
	EndpointLimits  []bool    `json:"ownLimits"`
	MessagesPerCall []int     `json:"perCall"`
	ConcurrentCalls int       `json:"workers"`
}

// LoadReport is the wire form of scheduler.LoadReport.
type LoadReport struct {
	Fields []string `json:"fields"`
	Mode   string   `json:"how"`
}

// Rules is the wire form of scheduler.Rules.
type Rules struct {
	AnswerMarginUs        int64   `json:"answerSlackUs"`
	MaxPollIntervalUs     int64   `json:"askWithinUs"`
	SlowStartInitialShare float64 `json:"coldFrom"`
	OverloadMultiple      float64 `json:"fallMultiple"`
	OverloadWindowUs      int64   `json:"fallUs"`
	SlowStartUs           int64   `json:"warmAfterUs"`
	DrainWithinUs         int64   `json:"stopSendingWithinUs"`
	KeyQuarantineUs       int64   `json:"keyRestUs"`
}

// Class is the wire form of scheduler.Class.
type Class struct {
	Name               string  `json:"name"`
	LatencyObjectiveUs int64   `json:"aimUs"`
	ObjectivePerWork   float64 `json:"aimStretch"`
	DeadlineUs         int64   `json:"hardLimitUs"`
	Idempotency        string  `json:"effect"`
	KeyScope           string  `json:"group"`
	KeyWindowUs        int64   `json:"windowUs"`
	OrderedByKey       bool    `json:"keepOrder"`
	LateValue          float64 `json:"lateValue"`
	Stream             bool    `json:"stream"`
	PriorityWeight     float64 `json:"worth"`
}

// Scheduler returns the scheduler's settings of a wire form.
func (wire *Settings) Scheduler() scheduler.Settings {
	settings := scheduler.Settings{
		Zone:            wire.Zone,
		Zones:           wire.Zones,
		Senders:         wire.Senders,
		SenderIndex:     wire.SenderIndex,
		TickUs:          wire.TickUs,
		Discovery:       scheduler.Discovery(wire.Discovery),
		CapacityHints:   scheduler.CapacityHints(wire.CapacityHints),
		MachineTypes:    wire.MachineTypes,
		OverQuotaWeight: wire.OverQuotaWeight,
		Limits: scheduler.Limits{
			CanCancel:            wire.Limits.CanCancel,
			ConnectTimeoutUs:     wire.Limits.ConnectTimeoutUs,
			KeepAliveUs:          wire.Limits.KeepAliveUs,
			MaxAttempts:          wire.Limits.MaxAttempts,
			MaxRetryAfterUs:      wire.Limits.MaxRetryAfterUs,
			MaxMessages:          wire.Limits.MaxMessages,
			HealthChecks:         wire.Limits.HealthChecks,
			CanSendRetryAfter:    wire.Limits.CanSendRetryAfter,
			HedgedRequests:       wire.Limits.HedgedRequests,
			StreamsPerConnection: wire.Limits.StreamsPerConnection,
		},
		Costs: scheduler.Costs{
			Handshake:     wire.Costs.Handshake,
			CrossZone:     wire.Costs.CrossZone,
			WastedAttempt: wire.Costs.WastedAttempt,
		},
		Calls: scheduler.Calls{
			ZoneFees:        wire.Calls.ZoneFees,
			ValueDecay:      scheduler.ValueDecay(wire.Calls.ValueDecay),
			EndpointLimits:  wire.Calls.EndpointLimits,
			MessagesPerCall: wire.Calls.MessagesPerCall,
			ConcurrentCalls: wire.Calls.ConcurrentCalls,
		},
		LoadReport: scheduler.LoadReport{
			Fields: wire.LoadReport.Fields,
			Mode:   scheduler.ReportMode(wire.LoadReport.Mode),
		},
		Rules: scheduler.Rules{
			AnswerMarginUs:        wire.Rules.AnswerMarginUs,
			MaxPollIntervalUs:     wire.Rules.MaxPollIntervalUs,
			SlowStartInitialShare: wire.Rules.SlowStartInitialShare,
			OverloadMultiple:      wire.Rules.OverloadMultiple,
			OverloadWindowUs:      wire.Rules.OverloadWindowUs,
			SlowStartUs:           wire.Rules.SlowStartUs,
			DrainWithinUs:         wire.Rules.DrainWithinUs,
			KeyQuarantineUs:       wire.Rules.KeyQuarantineUs,
		},
	}
	for _, class := range wire.Classes {
		settings.Classes = append(settings.Classes, class.schedulerClass())
	}
	for _, tenant := range wire.Tenants {
		settings.Tenants = append(settings.Tenants,
			scheduler.Tenant{Name: tenant.Name, QuotaPerSecond: tenant.QuotaPerSecond})
	}
	return settings
}

func (c *Class) schedulerClass() scheduler.Class {
	return scheduler.Class{
		Name:               c.Name,
		LatencyObjectiveUs: c.LatencyObjectiveUs,
		ObjectivePerWork:   c.ObjectivePerWork,
		DeadlineUs:         c.DeadlineUs,
		Idempotency:        scheduler.Idempotency(c.Idempotency),
		KeyScope:           scheduler.KeyScope(c.KeyScope),
		KeyWindowUs:        c.KeyWindowUs,
		OrderedByKey:       c.OrderedByKey,
		LateValue:          c.LateValue,
		Stream:             c.Stream,
		PriorityWeight:     c.PriorityWeight,
	}
}

// Wire returns the wire form of the scheduler's settings.
func Wire(settings *scheduler.Settings) Settings {
	wire := Settings{
		Zone:            settings.Zone,
		Zones:           settings.Zones,
		Senders:         settings.Senders,
		SenderIndex:     settings.SenderIndex,
		TickUs:          settings.TickUs,
		Discovery:       string(settings.Discovery),
		CapacityHints:   string(settings.CapacityHints),
		MachineTypes:    settings.MachineTypes,
		OverQuotaWeight: settings.OverQuotaWeight,
		Limits: Limits{
			CanCancel:            settings.Limits.CanCancel,
			ConnectTimeoutUs:     settings.Limits.ConnectTimeoutUs,
			KeepAliveUs:          settings.Limits.KeepAliveUs,
			MaxAttempts:          settings.Limits.MaxAttempts,
			MaxRetryAfterUs:      settings.Limits.MaxRetryAfterUs,
			MaxMessages:          settings.Limits.MaxMessages,
			HealthChecks:         settings.Limits.HealthChecks,
			CanSendRetryAfter:    settings.Limits.CanSendRetryAfter,
			HedgedRequests:       settings.Limits.HedgedRequests,
			StreamsPerConnection: settings.Limits.StreamsPerConnection,
		},
		Costs: Costs{
			Handshake:     settings.Costs.Handshake,
			CrossZone:     settings.Costs.CrossZone,
			WastedAttempt: settings.Costs.WastedAttempt,
		},
		Calls: Calls{
			ZoneFees:        settings.Calls.ZoneFees,
			ValueDecay:      string(settings.Calls.ValueDecay),
			EndpointLimits:  settings.Calls.EndpointLimits,
			MessagesPerCall: settings.Calls.MessagesPerCall,
			ConcurrentCalls: settings.Calls.ConcurrentCalls,
		},
		LoadReport: LoadReport{
			Fields: settings.LoadReport.Fields,
			Mode:   string(settings.LoadReport.Mode),
		},
		Rules: Rules{
			AnswerMarginUs:        settings.Rules.AnswerMarginUs,
			MaxPollIntervalUs:     settings.Rules.MaxPollIntervalUs,
			SlowStartInitialShare: settings.Rules.SlowStartInitialShare,
			OverloadMultiple:      settings.Rules.OverloadMultiple,
			OverloadWindowUs:      settings.Rules.OverloadWindowUs,
			SlowStartUs:           settings.Rules.SlowStartUs,
			DrainWithinUs:         settings.Rules.DrainWithinUs,
			KeyQuarantineUs:       settings.Rules.KeyQuarantineUs,
		},
	}
	for i := range settings.Classes {
		wire.Classes = append(wire.Classes, wireClass(&settings.Classes[i]))
	}
	for _, tenant := range settings.Tenants {
		wire.Tenants = append(wire.Tenants, Tenant{Name: tenant.Name, QuotaPerSecond: tenant.QuotaPerSecond})
	}
	return wire
}

func wireClass(class *scheduler.Class) Class {
	return Class{
		Name:               class.Name,
		LatencyObjectiveUs: class.LatencyObjectiveUs,
		ObjectivePerWork:   class.ObjectivePerWork,
		DeadlineUs:         class.DeadlineUs,
		Idempotency:        string(class.Idempotency),
		KeyScope:           string(class.KeyScope),
		KeyWindowUs:        class.KeyWindowUs,
		OrderedByKey:       class.OrderedByKey,
		LateValue:          class.LateValue,
		Stream:             class.Stream,
		PriorityWeight:     class.PriorityWeight,
	}
}
