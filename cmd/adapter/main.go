// Command adapter connects schedulers to the simulator: it reads batches of events from standard input, passes each
// instance's events to that instance's own scheduler, and writes the resulting actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"brackendale/internal/simulator"
	"brackendale/scheduler"
)

const (
	readBufferBytes  = 1 << 20
	writeBufferBytes = 1 << 16
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// adapter holds a scheduler for each simulated instance, the endpoint lists that updates refer to, and the batch that
// is being read.
type adapter struct {
	schedulers    map[int64]*scheduler.Scheduler
	endpointLists map[int][]scheduler.Endpoint
	currentBatch  batch
	buffer        []byte // holds the replies to a batch; reused for the next one
}

// batch collects the messages between a batch's start and its end.
type batch struct {
	open        bool
	timeUs      int64
	events      map[int64][]scheduler.Event // by instance
	startErrors map[int64]string            // by instance: the reason why it could not be started
	order       []int64                     // the instances, in the order of their first event
}

func newAdapter() *adapter {
	return &adapter{schedulers: map[int64]*scheduler.Scheduler{}, endpointLists: map[int][]scheduler.Endpoint{}}
}

// serve replies to batches until the input ends. Its errors name the number of the input line at fault.
func serve(in io.Reader, out io.Writer) error {
	a := newAdapter()
	reader := bufio.NewReaderSize(in, readBufferBytes)
	writer := bufio.NewWriterSize(out, writeBufferBytes)
	for number := 1; ; number++ {
		raw, err := reader.ReadBytes('\n')
		if len(raw) > 0 && string(raw) != "\n" {
			if lineErr := a.handleLine(raw, number, writer); lineErr != nil {
				return lineErr
			}
		}
		switch {
		case errors.Is(err, io.EOF) && a.currentBatch.open:
			return fmt.Errorf("line %d: input ends inside a batch", number)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("reading: %w", err)
		}
	}
}

// handleLine processes one line of the input. After a line that ends a batch it writes the replies to that batch.
func (a *adapter) handleLine(raw []byte, number int, out *bufio.Writer) error {
	line, err := simulator.Parse(raw)
	if err == nil {
		err = a.handleMessage(line)
	}
	if err != nil {
		return fmt.Errorf("line %d: %w", number, err)
	}
	if line.Name != simulator.BatchEnded {
		return nil
	}
	a.buffer = append(a.appendReplies(a.buffer[:0]), "{\"Ok\":{}}\n"...)
	if _, err := out.Write(a.buffer); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

// handleMessage applies one message: it opens or closes a batch, stores an endpoint list, starts or stops an instance,
// or queues an event for its instance.
func (a *adapter) handleMessage(line simulator.Line) error {
	if (line.Name == simulator.BatchStarted) == a.currentBatch.open {
		return fmt.Errorf("%s: out of place", line.Name)
	}
	switch line.Name {
	case simulator.BatchStarted:
		a.currentBatch = batch{
			open: true, timeUs: line.TimeUs, events: map[int64][]scheduler.Event{}, startErrors: map[int64]string{},
			order: a.currentBatch.order[:0],
		}
	case simulator.BatchEnded:
		a.currentBatch.open = false
	case simulator.EndpointListDefined:
		a.endpointLists[line.ListNumber] = line.Endpoints
	case simulator.InstanceStarted:
		a.startInstance(line)
	case simulator.InstanceStopped:
		return a.stopInstance(line)
	default:
		return a.addEvent(line)
	}
	return nil
}

// startInstance makes a scheduler for an instance. Invalid settings do not end the session: the instance alone is
// reported as failed when the batch ends.
func (a *adapter) startInstance(line simulator.Line) {
	a.addToOrder(line.Instance)
	s, err := scheduler.New(line.Settings, line.Seed)
	if err != nil {
		a.currentBatch.startErrors[line.Instance] = err.Error()
		return
	}
	a.schedulers[line.Instance], a.currentBatch.events[line.Instance] = s, nil
}

func (a *adapter) stopInstance(line simulator.Line) error {
	if a.schedulers[line.Instance] == nil {
		return fmt.Errorf("%s: instance %d is unknown", line.Name, line.Instance)
	}
	delete(a.schedulers, line.Instance)
	a.currentBatch.events[line.Instance] = nil
	return nil
}

func (a *adapter) addEvent(line simulator.Line) error {
	if a.schedulers[line.Instance] == nil && a.currentBatch.startErrors[line.Instance] == "" {
		return fmt.Errorf("%s: instance %d is unknown", line.Name, line.Instance)
	}
	if line.Event.Kind == scheduler.EndpointsUpdated && line.Event.Update != scheduler.UpdateBroken {
		endpoints, ok := a.endpointLists[line.ListNumber]
		if !ok {
			return fmt.Errorf("%s: list %d is unknown", simulator.EndpointsUpdated, line.ListNumber)
		}
		line.Event.Endpoints = endpoints
	}
	a.addToOrder(line.Instance)
	a.currentBatch.events[line.Instance] = append(a.currentBatch.events[line.Instance], line.Event)
	return nil
}

// addToOrder records that an instance has an event in this batch.
func (a *adapter) addToOrder(instance int64) {
	if !slices.Contains(a.currentBatch.order, instance) {
		a.currentBatch.order = append(a.currentBatch.order, instance)
	}
}

// appendReplies steps the scheduler of each instance that has an event in the batch and appends the replies to out.
func (a *adapter) appendReplies(out []byte) []byte {
	for _, instance := range a.currentBatch.order {
		if reason := a.currentBatch.startErrors[instance]; reason != "" {
			out = simulator.AppendInstanceFailed(out, instance, reason)
			continue
		}
		if s := a.schedulers[instance]; s != nil {
			out = stepInstance(out, instance, s, a.currentBatch.timeUs, a.currentBatch.events[instance])
		}
	}
	return out
}

// stepInstance steps one instance's scheduler and appends its actions to out. A panic in it is reported as that
// instance's failure, in place of its actions, and does not affect the other instances.
func stepInstance(
	out []byte, instance int64, sched *scheduler.Scheduler, timeUs int64, events []scheduler.Event,
) (result []byte) {
	start := len(out)
	defer func() {
		if reason := recover(); reason != nil {
			result = simulator.AppendInstanceFailed(out[:start], instance, fmt.Sprint(reason))
		}
	}()
	for _, action := range sched.Step(timeUs, events) {
		out = simulator.Append(out, instance, action)
	}
	return out
}
