package app

import (
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// maxDescriptors limits the descriptors that accompany one message.
const maxDescriptors = 16

// errDescriptorsNotSent reports a connection that cannot transfer descriptors.
var errDescriptorsNotSent = errors.New("the descriptors could not be sent with their message")

// descriptorReader reads from the connection of a restart link and keeps the descriptors that arrive with the bytes.
type descriptorReader struct {
	conn     net.Conn
	received []int
}

// Read reads bytes of messages.
func (r *descriptorReader) Read(buffer []byte) (int, error) {
	conn, ok := r.conn.(*net.UnixConn)
	if !ok {
		return r.conn.Read(buffer)
	}
	control := make([]byte, unix.CmsgSpace(maxDescriptors*4))
	n, controlBytes, _, _, err := conn.ReadMsgUnix(buffer, control)
	if controlBytes > 0 {
		r.received = append(r.received, parseDescriptors(control[:controlBytes])...)
	}
	return max(n, 0), err // after an error n may be negative
}

// take returns the descriptors received since the last call.
func (r *descriptorReader) take() []int {
	received := r.received
	r.received = nil
	return received
}

// parseDescriptors returns the descriptors in the control messages that accompany received bytes.
func parseDescriptors(control []byte) (descriptors []int) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		if rights, err := unix.ParseUnixRights(&messages[i]); err == nil {
			descriptors = append(descriptors, rights...)
		}
	}
	return descriptors
}

// writeWithDescriptors writes bytes and the descriptors that accompany them, in one call if there are any.
func writeWithDescriptors(conn net.Conn, raw []byte, descriptors []int) error {
	if len(descriptors) == 0 {
		_, err := conn.Write(raw)
		return err
	}
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return errDescriptorsNotSent
	}
	n, _, err := unixConn.WriteMsgUnix(raw, unix.UnixRights(descriptors...), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errDescriptorsNotSent, err)
	}
	if n < len(raw) {
		_, err = unixConn.Write(raw[n:])
	}
	return err
}

func closeDescriptors(descriptors []int) {
	for _, descriptor := range descriptors {
		_ = unix.Close(descriptor)
	}
}
