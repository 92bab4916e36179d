package console

import (
	"context"
	"errors"
	"strings"
	"time"

	"brackendale/sender"
)

// The commands that read or control the sender.
const (
	cmdState     = "state"
	cmdReady     = "ready"
	cmdTelemetry = "telemetry"
	cmdExclude   = "exclude"
	cmdHold      = "hold" // the same as exclude
	cmdInclude   = "include"
	cmdRelease   = "release" // the same as include
	cmdPause     = "pause"
	cmdResume    = "resume"
)

// The commands that read or control the group.
const (
	cmdDuties  = "duties"
	cmdMembers = "members"
	cmdHand    = "hand"   // makes a member the preferred holder of a duty
	cmdRevoke  = "revoke" // stops the renewal of a duty's lease
	cmdJoin    = "join"   // makes this member a voter
	cmdLeave   = "leave"  // ends this member's vote
	cmdDrain   = "drain"  // starts a graceful shutdown
)

// groupCommandWords has the number of words of each group command, its name included.
var groupCommandWords = map[string]int{
	cmdDuties:  1,
	cmdMembers: 1,
	cmdHand:    3,
	cmdRevoke:  2,
	cmdJoin:    1,
	cmdLeave:   1,
	cmdDrain:   1,
}

// groupCommandTimeout is the timeout for the group's leader to apply a command.
const groupCommandTimeout = 4 * time.Second

// group executes a group command on the caller's goroutine, without the sender's. ok is false for other commands.
func (s Sources) group(line string) (reply Reply, ok bool) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return reply, false
	}
	want, ok := groupCommandWords[words[0]]
	if !ok {
		return reply, false
	}
	ctx, stop := context.WithTimeout(context.Background(), groupCommandTimeout)
	defer stop()
	switch {
	case words[0] == cmdDrain && s.Drain != nil && len(words) == want:
		if err := s.Drain(ctx); err != nil {
			return Reply{Error: err.Error()}, true
		}
		return Reply{Text: "draining: it takes nothing on, and ends once it holds nothing"}, true
	case s.Group == nil:
		return Reply{Error: "this sender is in no group: its file has no section [group]"}, true
	case len(words) != want:
		return Reply{Error: "commands: duties, members, hand DUTY MEMBER, revoke DUTY, join, leave, drain"}, true
	}
	if err := s.changeGroup(ctx, words); err != nil {
		return Reply{Error: err.Error()}, true
	}
	return s.groupView(words[0]), true
}

// changeGroup executes a command that changes the group. For other commands it does nothing.
func (s Sources) changeGroup(ctx context.Context, words []string) error {
	switch words[0] {
	case cmdHand:
		return s.Group.HandOver(ctx, words[1], words[2])
	case cmdRevoke:
		return s.Group.Revoke(ctx, words[1])
	case cmdJoin:
		return s.Group.Join()
	case cmdLeave:
		return s.Group.Leave(ctx)
	}
	return nil
}

// groupView replies with the part of the group that a command is about: its duties or its members.
func (s Sources) groupView(command string) (reply Reply) {
	switch command {
	case cmdDuties, cmdHand, cmdRevoke:
		reply.Duties = s.Group.Duties()
		if len(reply.Duties) == 0 {
			reply.Text = "no duties"
		}
	default:
		reply.Members = s.Group.Members()
	}
	return reply
}

// executeCommand executes one command on the sender's goroutine. It calls reply once the effect is recorded, which may
// be after it has returned.
func executeCommand(core *sender.Sender, line string, reply func(Reply)) {
	name, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	done := func(err error) {
		if err != nil {
			reply(Reply{Error: err.Error()})
			return
		}
		state := core.State()
		reply(Reply{State: &state})
	}
	switch {
	case name == cmdState && arg == "":
		done(nil)
	case (name == cmdExclude || name == cmdHold) && arg != "":
		core.Exclude(strings.TrimSpace(arg), true, done)
	case (name == cmdInclude || name == cmdRelease) && arg != "":
		core.Exclude(strings.TrimSpace(arg), false, done)
	case name == cmdReady && arg == "":
		if ok, reason := core.Ready(); !ok {
			reply(Reply{Error: reason})
			return
		}
		reply(Reply{Text: "ready"})
	case name == cmdTelemetry && arg == "":
		var text strings.Builder
		if err := core.WriteMetrics(&text); err != nil {
			done(err)
			return
		}
		reply(Reply{Text: text.String()})
	case (name == cmdPause || name == cmdResume) && arg == "":
		core.Pause(name == cmdPause)
		done(nil)
	default:
		done(errors.New("commands: state, ready, telemetry, exclude TARGET (or hold), include TARGET (or release), " +
			"pause, resume, duties, members, hand DUTY MEMBER, revoke DUTY, join, leave, drain"))
	}
}
