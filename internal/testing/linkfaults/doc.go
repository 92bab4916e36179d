// Package linkfaults plays faults on every connection between real processes of the sender and their peers: each one
// goes through a relay that may refuse, silence, delay, cut, throttle or reset it.
package linkfaults
