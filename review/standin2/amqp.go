package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// The methods of AMQP 0-9-1 that the stand-ins use, as class<<16 | method.
const (
	connStart    = 10<<16 | 10
	connStartOk  = 10<<16 | 11
	connTune     = 10<<16 | 30
	connTuneOk   = 10<<16 | 31
	connOpen     = 10<<16 | 40
	connOpenOk   = 10<<16 | 41
	connClose    = 10<<16 | 50
	connCloseOk  = 10<<16 | 51
	chanOpen     = 20<<16 | 10
	chanOpenOk   = 20<<16 | 11
	chanClose    = 20<<16 | 40
	chanCloseOk  = 20<<16 | 41
	queueDeclare = 50<<16 | 10
	basicConsume = 60<<16 | 20
	basicPublish = 60<<16 | 40
	basicReturn  = 60<<16 | 50
	basicDeliver = 60<<16 | 60
	basicAck     = 60<<16 | 80
	basicNack    = 60<<16 | 120
	confirmSel   = 85<<16 | 10
	confirmSelOk = 85<<16 | 11
)

const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xCE
)

// encoder appends values of the protocol.
type encoder struct{ b []byte }

func (w *encoder) u8(v byte) *encoder    { w.b = append(w.b, v); return w }
func (w *encoder) u16(v uint16) *encoder { w.b = binary.BigEndian.AppendUint16(w.b, v); return w }
func (w *encoder) u32(v uint32) *encoder { w.b = binary.BigEndian.AppendUint32(w.b, v); return w }
func (w *encoder) u64(v uint64) *encoder { w.b = binary.BigEndian.AppendUint64(w.b, v); return w }
func (w *encoder) short(s string) *encoder {
	w.b = append(append(w.b, byte(len(s))), s...)
	return w
}

func (w *encoder) long(s string) *encoder {
	w.u32(uint32(len(s)))
	w.b = append(w.b, s...)
	return w
}

// decoder reads values of the protocol; what is missing reads as zero.
type decoder struct{ b []byte }

func (r *decoder) take(n int) []byte {
	if n > len(r.b) {
		r.b = nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}
func (r *decoder) u8() byte      { return r.take(1)[0] }
func (r *decoder) u16() uint16   { return binary.BigEndian.Uint16(r.take(2)) }
func (r *decoder) u32() uint32   { return binary.BigEndian.Uint32(r.take(4)) }
func (r *decoder) u64() uint64   { return binary.BigEndian.Uint64(r.take(8)) }
func (r *decoder) short() string { return string(r.take(int(r.u8()))) }
func (r *decoder) long() string  { return string(r.take(int(r.u32()))) }

// props are the properties of a content that the stand-ins use.
type props struct {
	key           string // header idempotency-key
	correlationID string
	replyTo       string
	expiration    string
	messageID     string
	typ           string
}

func (p props) encode(size int) []byte {
	var flags uint16
	w := &encoder{}
	if p.key != "" {
		flags |= 1 << 13
		table := (&encoder{}).short("idempotency-key").u8('S').long(p.key)
		w.long(string(table.b))
	}
	for _, field := range []struct {
		bit   int
		value string
	}{{10, p.correlationID}, {9, p.replyTo}, {8, p.expiration}, {7, p.messageID}, {5, p.typ}} {
		if field.value != "" {
			flags |= 1 << field.bit
			w.short(field.value)
		}
	}
	return append((&encoder{}).u16(60).u16(0).u64(uint64(size)).u16(flags).b, w.b...)
}

func decodeProps(payload []byte) (p props, size uint64) {
	r := &decoder{payload}
	r.u16()
	r.u16()
	size = r.u64()
	flags := r.u16()
	has := func(bit int) bool { return flags&(1<<bit) != 0 }
	if has(15) {
		r.short()
	}
	if has(14) {
		r.short()
	}
	if has(13) {
		r.long()
	}
	if has(12) {
		r.u8()
	}
	if has(11) {
		r.u8()
	}
	if has(10) {
		p.correlationID = r.short()
	}
	if has(9) {
		p.replyTo = r.short()
	}
	if has(8) {
		p.expiration = r.short()
	}
	if has(7) {
		p.messageID = r.short()
	}
	if has(6) {
		r.u64()
	}
	if has(5) {
		p.typ = r.short()
	}
	return p, size
}

// frame is one frame; of a method frame, method and args are set.
type frame struct {
	kind    byte
	channel uint16
	payload []byte
	method  uint32
	args    *decoder
}

func readFrame(r *bufio.Reader) (f frame, err error) {
	var head [7]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	f.kind, f.channel = head[0], binary.BigEndian.Uint16(head[1:])
	f.payload = make([]byte, binary.BigEndian.Uint32(head[3:]))
	if _, err = io.ReadFull(r, f.payload); err != nil {
		return f, err
	}
	end, err := r.ReadByte()
	if err == nil && end != frameEnd {
		err = errors.New("no end of a frame")
	}
	if f.kind == frameMethod {
		f.args = &decoder{f.payload}
		f.method = f.args.u32()
	}
	return f, err
}

func appendFrame(out []byte, kind byte, channel uint16, payload []byte) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint16(out, channel)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	return append(append(out, payload...), frameEnd)
}

func appendMethod(out []byte, channel uint16, method uint32, args *encoder) []byte {
	payload := binary.BigEndian.AppendUint32(nil, method)
	if args != nil {
		payload = append(payload, args.b...)
	}
	return appendFrame(out, frameMethod, channel, payload)
}

// message is a content that arrived, with its method.
type message struct {
	method   uint32
	tag      uint64 // of a deliver or a confirm
	again    bool   // redelivered; of a confirm: multiple
	consumer string
	queue    string
	props    props
	body     []byte
}

// client is an AMQP client's connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	mu   sync.Mutex // of writes
}

// dialAMQP connects and opens the root host. rcvbuf, if not 0, is the size of the socket's receive buffer.
func dialAMQP(addr string, rcvbuf int) (*client, error) { return dialHost(addr, "/", rcvbuf) }

// dialHost connects and opens a virtual host.
func dialHost(addr, host string, rcvbuf int) (*client, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	if rcvbuf > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rcvbuf)
			})
		}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 4<<10)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte("AMQP\x00\x00\x09\x01")); err != nil {
		return nil, err
	}
	if _, err := c.expect(connStart); err != nil {
		return nil, err
	}
	c.method(0, connStartOk, (&encoder{}).u32(0).short("PLAIN").long("\x00guest\x00guest").short("en_US"))
	tune, err := c.expect(connTune)
	if err != nil {
		return nil, err
	}
	channels, size := tune.args.u16(), tune.args.u32()
	c.method(0, connTuneOk, (&encoder{}).u16(channels).u32(size).u16(0)) // no heartbeats
	c.method(0, connOpen, (&encoder{}).short(host).short("").u8(0))
	if _, err := c.expect(connOpenOk); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *client) write(raw []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.conn.Write(raw)
	return err
}

func (c *client) method(channel uint16, method uint32, args *encoder) {
	_ = c.write(appendMethod(nil, channel, method, args))
}

// expect reads until a method comes.
func (c *client) expect(method uint32) (frame, error) {
	for {
		f, err := readFrame(c.in)
		if err != nil {
			return f, err
		}
		switch {
		case f.kind == frameMethod && f.method == method:
			return f, nil
		case f.kind == frameMethod && (f.method == connClose || f.method == chanClose):
			return f, fmt.Errorf("closed with %d %s", f.args.u16(), f.args.short())
		}
	}
}

func (c *client) call(channel uint16, method uint32, args *encoder, reply uint32) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	c.method(channel, method, args)
	_, err := c.expect(reply)
	return err
}

// openChannel opens a channel, with confirms if that is wanted.
func (c *client) openChannel(id uint16, confirms bool) error {
	err := c.call(id, chanOpen, (&encoder{}).short(""), chanOpenOk)
	if err == nil && confirms {
		err = c.call(id, confirmSel, (&encoder{}).u8(0), confirmSelOk)
	}
	return err
}

// consume starts a consumer.
func (c *client) consume(channel uint16, queue, tag string, noAck bool) error {
	var bits byte
	if noAck {
		bits = 2
	}
	return c.call(channel, basicConsume, (&encoder{}).u16(0).short(queue).short(tag).u8(bits).u32(0), basicConsume+1)
}

// publish publishes one message.
func (c *client) publish(channel uint16, exchange, routingKey string, p props, body []byte) error {
	out := appendMethod(nil, channel, basicPublish, (&encoder{}).u16(0).short(exchange).short(routingKey).u8(0))
	out = appendFrame(out, frameHeader, channel, p.encode(len(body)))
	if len(body) > 0 {
		out = appendFrame(out, frameBody, channel, body)
	}
	return c.write(out)
}

// next reads the next confirm, answer or close.
func (c *client) next() (message, error) {
	for {
		f, err := readFrame(c.in)
		if err != nil {
			return message{}, err
		}
		if f.kind != frameMethod {
			continue
		}
		m := message{method: f.method}
		switch f.method {
		case basicAck, basicNack:
			m.tag, m.again = f.args.u64(), f.args.u8()&1 != 0
			return m, nil
		case basicDeliver:
			m.consumer = f.args.short()
			m.tag, m.again = f.args.u64(), f.args.u8() != 0
			f.args.short()
			m.queue = f.args.short()
			return m, c.content(&m)
		case connClose, chanClose:
			return m, fmt.Errorf("closed with %d %s", f.args.u16(), f.args.short())
		}
	}
}

func (c *client) content(m *message) error {
	head, err := readFrame(c.in)
	if err != nil {
		return err
	}
	var size uint64
	m.props, size = decodeProps(head.payload)
	for uint64(len(m.body)) < size {
		part, err := readFrame(c.in)
		if err != nil {
			return err
		}
		m.body = append(m.body, part.payload...)
	}
	return nil
}

func (c *client) ack(channel uint16, tag uint64) {
	c.method(channel, basicAck, (&encoder{}).u64(tag).u8(0))
}

// reset ends the connection at once, as if the client's process had been killed.
func (c *client) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}
