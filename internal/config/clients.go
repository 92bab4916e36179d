package config

import (
	"net"
	"strings"
)

// Clients configures how file descriptors are divided, and the connection limits of clients on all fronts.
type Clients struct {
	SocketShare float64 `toml:"share"`        // the share of limits.sockets for client connections of all fronts
	TargetShare float64 `toml:"targets"`      // the share of limits.sockets for connections to egress targets
	AcceptPerS  int     `toml:"accept_per_s"` // new connections per second of one listener; 0: unlimited
	PerAddress  int     `toml:"per_address"`  // connections from one address on one front; 0: unlimited
}

// Resp configures the RESP2 front of an appliance. Without an address to listen on there is none.
type Resp struct {
	Listen          string  `toml:"listen"`
	FinalsAddr      string  `toml:"finals"`    // the address for final answers other than delivered, as POST /v2/finals
	FirstTimeoutS   float64 `toml:"first_s"`   // timeout for a client's first complete command; 0: none
	CommandTimeoutS float64 `toml:"command_s"` // timeout for one command, from its first byte to its last; 0: none
	IdleTimeoutS    float64 `toml:"idle_s"`    // idle time after which a client is disconnected; 0: none
}

// reservedDescriptors is the minimum number of descriptors for everything except the connections of clients and to
// targets: the journal, listeners, the registry, the console and the runtime.
const reservedDescriptors = 16

// The default division of the descriptors. An appliance has many clients and few targets.
var (
	applianceClients = Clients{SocketShare: 0.85, TargetShare: 0.1}
	platformClients  = Clients{SocketShare: 0.5, TargetShare: 0.4}
)

// ClientSockets returns the maximum number of client connections on all fronts together.
func (c *Config) ClientSockets() int { return int(c.Clients.SocketShare * float64(c.Limits.Sockets)) }

// TargetSockets returns the maximum number of connections to egress targets.
func (c *Config) TargetSockets() int {
	remaining := c.Limits.Sockets - c.ClientSockets() - reservedDescriptors
	return max(1, min(int(c.Clients.TargetShare*float64(c.Limits.Sockets)), remaining))
}

// CheckDescriptors checks limits.sockets against available, the process's limit on open files.
func (c *Config) CheckDescriptors(available uint64) error {
	if available < uint64(c.Limits.Sockets) {
		return keyErrorf("limits.sockets", "%d descriptors are configured, and this process may open %d: raise its limit "+
			"on open files, or lower the key",
			c.Limits.Sockets, available)
	}
	return nil
}

// checkClients checks the sections [clients] and [resp], and the timeouts of [amqp].
func (c *Config) checkClients() error {
	clients, resp := c.Clients, c.Resp
	switch {
	case !(clients.SocketShare > 0 && clients.SocketShare < 1):
		return keyErrorf("clients.share", "%v is not between 0 and 1", clients.SocketShare)
	case !(clients.TargetShare > 0 && clients.TargetShare < 1):
		return keyErrorf("clients.targets", "%v is not between 0 and 1", clients.TargetShare)
	case clients.SocketShare+clients.TargetShare > 1:
		return keyErrorf("clients.targets", "%v and clients.share %v add up to more than 1", clients.TargetShare,
			clients.SocketShare)
	case c.Limits.Sockets-c.ClientSockets() < reservedDescriptors+1:
		return keyErrorf("clients.share", "%v of limits.sockets %d leaves %d descriptors, under the %d that the sender "+
			"needs for itself and one target",
			clients.SocketShare, c.Limits.Sockets, c.Limits.Sockets-c.ClientSockets(), reservedDescriptors+1)
	case clients.AcceptPerS < 0:
		return keyErrorf("clients.accept_per_s", "%d is under 0", clients.AcceptPerS)
	case clients.PerAddress < 0:
		return keyErrorf("clients.per_address", "%d is under 0", clients.PerAddress)
	}
	for key, seconds := range map[string]float64{
		"resp.first_s": resp.FirstTimeoutS, "resp.command_s": resp.CommandTimeoutS, "resp.idle_s": resp.IdleTimeoutS,
		"amqp.first_s": c.AMQP.FirstTimeoutS, "amqp.frame_s": c.AMQP.FrameTimeoutS, "amqp.idle_s": c.AMQP.IdleTimeoutS,
	} {
		if !(seconds >= 0 && seconds <= 1e6) {
			return keyErrorf(key, "%v is not from 0 to 1000000", seconds)
		}
	}
	if resp.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(resp.Listen); err != nil {
		return keyErrorf("resp.listen", "%q: %w", resp.Listen, err)
	}
	if _, _, err := net.SplitHostPort(resp.FinalsAddr); err != nil {
		return keyErrorf("resp.finals", "%q: %w: it receives the final answers of RESP clients", resp.FinalsAddr, err)
	}
	if strings.TrimSpace(c.Listen) != "" {
		return keyErrorf("resp.listen", "cannot be combined with the platform's front, which listens at %s", c.Listen)
	}
	return nil
}
