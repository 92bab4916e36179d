// Package failure classifies the errors of system calls: what a failed network operation proves about the request, and
// whether a failed operation on this machine may succeed later. It has no state; any goroutine may call it.
package failure

import (
	"errors"
	"syscall"
)

// Operation is a step of sending a request to a peer.
type Operation uint8

// The operations that may fail.
const (
	Connect Operation = iota // socket, bind, connect, and registration with the event loop: nothing was written
	Write                    // the request's last byte was not sent
	Read                     // the request was sent completely
)

// Origin is the place of a failure's cause.
type Origin uint8

// The places of a failure's cause.
const (
	Peer    Origin = iota // the peer, or the network close to it
	Path                  // the network path to the peer, or a rule of this machine for that path
	Machine               // this machine: it lacked a resource, or the system call was interrupted
)

// Proof is what a failure proves about a request.
type Proof struct {
	MayHaveRun bool // the outcome is ambiguous
	Origin     Origin
}

// machineErrors are the errors of system calls that this machine could not execute. They prove nothing about the peer.
var machineErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, // no free descriptor
	syscall.ENOBUFS, syscall.ENOMEM, // no memory
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, // no free local port, or no room for another route
	syscall.ENOSPC, // no room for another descriptor in the event loop
	syscall.EINTR,
	syscall.ENETDOWN,
}

// pathErrors are the errors of a network path that this machine lacks or must not use: the peer was not reached. They
// may pass soon, or concern that peer alone.
var pathErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.EACCES, syscall.EPERM}

// Classify returns what the error of an operation proves about the request.
func Classify(operation Operation, err error) Proof {
	result := Proof{MayHaveRun: operation == Read}
	if operation != Connect { // an established connection failed, for which this machine is not the cause
		return result
	}
	switch {
	case isOneOf(err, machineErrors):
		result.Origin = Machine
	case isOneOf(err, pathErrors):
		result.Origin = Path
	}
	return result
}

// isOneOf reports whether err is one of the errnos.
func isOneOf(err error, errnos []syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
