package group

import (
	"errors"
	"fmt"
)

// ErrStaleEpoch is the error of an execution whose receiver has already recorded a newer epoch. The
// duty is released at once.
var ErrStaleEpoch = errors.New("the receiver has recorded a newer epoch")

var (
	// errUnlisted is returned if a member that its own settings do not list as a voter is to become
	// one. Members that have lost their folders look for the group only among the voters of their
	// settings: they would miss a group whose remaining voters are unlisted, and could start a second
	// group beside it.
	errUnlisted = errors.New("this member is not among members in its file: name it there in every file first")

	// errSuperseded stops a log whose folder is not the latest one of this member.
	errSuperseded = errors.New("another member has recorded a later state of this folder")

	// errSupersedePending keeps a member at its old incarnation until Options.OnSuperseded has recorded
	// the later one.
	errSupersedePending = errors.New("this folder is an older state: its ambiguous outcomes are being recorded")

	errFrameTooLong     = errors.New("the line exceeds the size limit")
	errConnectionEnded  = errors.New("the connection has ended")
	errReplyTimeout     = errors.New("timed out waiting for a reply")
	errNoResult         = errors.New("group: the state machine returned no result")
	errLogUnreadable    = errors.New("group: the log cannot be read")
	errCommandPending   = errors.New("another order is under way")
	errNotVoter         = errors.New("this member does not vote")
	errAlreadyVoter     = errors.New("this member votes already")
	errAlreadyStarted   = errors.New("group: this folder has already completed its first start")
	errNoLeaderToRejoin = errors.New("the log in this folder is lost or outdated, and there is no leader that could " +
		"readmit this member; if a majority of the voters has lost its logs, run: group recover")
)

// remoteError is the error in the reply of another member.
type remoteError struct {
	member string
	reason string
}

func (e *remoteError) Error() string { return e.member + ": " + e.reason }

// commandError is the reason for which the leader did not execute a command.
type commandError struct{ reason string }

func (e *commandError) Error() string { return e.reason }

// logFileError is a failure to open or check the log file.
type logFileError struct{ err error }

func (e *logFileError) Error() string { return fmt.Sprintf("group: the log's file: %v", e.err) }
func (e *logFileError) Unwrap() error { return e.err }

// corruptFileError is a panic in the store of the log, caused by a corrupt file.
type corruptFileError struct{ cause any }

func (e *corruptFileError) Error() string { return fmt.Sprintf("the log's file is torn: %v", e.cause) }
