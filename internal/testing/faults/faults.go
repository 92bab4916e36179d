// Package faults makes system calls of a test's child process fail and changes its clocks, as specified in its
// environment. Only tests import it.
package faults

import (
	"encoding/json"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/net/reactor"
	"brackendale/internal/statefs"
)

// EnvVar is the environment variable of a child process that holds its Faults as JSON.
const EnvVar = "BRACKENDALE_TEST_FAULTS"

// Faults are the faults injected into a process. The fields of this struct and of the structs in it have no JSON
// tags, so their Go names are the names in EnvVar.
type Faults struct {
	WallStep time.Duration // offset of its wall clock
	StepIn   time.Duration // time from its start until WallStep applies; 0: from the start
	BootID   string        // boot id of its machine; empty: the real one
	Folder   []Folder
	Sockets  []Socket
}

// Socket makes calls on sockets fail.
type Socket struct {
	Call  reactor.SocketCall
	Addr  string        // address of the peer, or of the listener; empty: any
	Errno syscall.Errno // error of the call; 0: reads and writes are short
	After int           // bytes of a write that are sent before it fails or, if short, ends
	First int           // first call of this kind that fails, counted from 1
	Count int           // number of consecutive calls that fail from First on
	Every int           // period, in calls, after which the failures repeat; 0: they do not
}

// Folder makes operations on files of the state folder fail.
type Folder struct {
	Call  statefs.Call
	Name  string // name of the file
	Errno syscall.Errno
	After int    // bytes of a write that are written before it fails
	First int    // first operation of this kind that fails, counted from 1
	Count int    // number of consecutive operations that fail from First on
	While string // path of a file; if set, all operations fail while it exists, in place of First and Count
}

// Env returns the entry for the environment of a process with these faults.
func (f Faults) Env() string {
	raw, err := json.Marshal(f)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return EnvVar + "=" + string(raw)
}

// Inject injects the faults that the environment of this process specifies, if any.
func Inject() {
	text := os.Getenv(EnvVar)
	if text == "" {
		return
	}
	var faults Faults
	if err := json.Unmarshal([]byte(text), &faults); err != nil {
		panic(err)
	}
	if faults.StepIn == 0 {
		clock.StepWall(faults.WallStep)
	} else {
		time.AfterFunc(faults.StepIn, func() { clock.StepWall(faults.WallStep) })
	}
	if faults.BootID != "" {
		clock.SetBootID(faults.BootID)
	}
	if len(faults.Sockets) > 0 {
		reactor.SetFaultHook(faults.socketHook())
	}
	if len(faults.Folder) > 0 {
		statefs.SetHook(faults.folderHook())
	}
}

func (f Faults) socketHook() reactor.FaultHook {
	calls := make([]atomic.Int64, len(f.Sockets))
	return func(call reactor.SocketCall, addr string) *reactor.SocketFault {
		for i, fault := range f.Sockets {
			if fault.Call != call || fault.Addr != "" && fault.Addr != addr {
				continue
			}
			index := int(calls[i].Add(1)) - fault.First
			if fault.Every > 0 && index >= 0 {
				index %= fault.Every
			}
			if index >= 0 && index < fault.Count {
				return &reactor.SocketFault{Errno: fault.Errno, After: fault.After}
			}
		}
		return nil
	}
}

func (f Faults) folderHook() statefs.Hook {
	counts := make([]atomic.Int64, len(f.Folder))
	return func(call statefs.Call, name string) *statefs.Fault {
		for i, fault := range f.Folder {
			if fault.Call != call || fault.Name != name {
				continue
			}
			index := int(counts[i].Add(1))
			fails := index >= fault.First && index < fault.First+fault.Count
			if fault.While != "" {
				_, err := os.Stat(fault.While)
				fails = err == nil
			}
			if fails {
				return &statefs.Fault{Err: fault.Errno, After: fault.After}
			}
		}
		return nil
	}
}
