package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	preamble         = "covelink-rpc/1\n"
	frameLengthBytes = 4
	readChunkBytes   = 64 << 10
	// retainBufferBytes bounds the buffers that a connection keeps between frames. Gob's own never shrink: after a larger frame
	// the writer starts a new gob stream.
	retainBufferBytes = 64 << 10
	// resetFlag in the length of a frame says that a new gob stream starts with it.
	resetFlag = 1 << 31
	// maxMethodNumbers bounds the methods that get a number, by far above those that exist.
	maxMethodNumbers = 256
	// maxNumberedMethodBytes bounds the names that get a number, since a reader keeps them.
	maxNumberedMethodBytes = 256
	// writeTimeout bounds the time one frame may take to enter the socket; a peer that does not read for so long is cut off.
	writeTimeout = 2 * time.Second
)

// DefaultMaxFrameBytes bounds a frame unless the settings say otherwise.
const DefaultMaxFrameBytes = 16 << 20

// header precedes every body.
type header struct {
	ID     uint64
	Method string // empty in a reply, and when Number says it
	// Number stands for the method in the frames of one gob stream. The first of them has both, later ones only Number.
	Number int
	// Timeout is the time the caller still waits, zero for no bound.
	Timeout time.Duration
	Failure *v1.Error
	Cancel  bool // the caller has given up on request ID; no body follows
}

// empty is the body of a frame that carries none.
type empty struct{}

// hello is the first body of a connection.
type hello struct{ Peer Peer }

// frameWriter writes frames. It is safe for concurrent use.
type frameWriter struct {
	out    net.Conn
	limit  int
	buffer bytes.Buffer
	enc    *gob.Encoder
	// reset is true when the next frame starts a new gob stream.
	reset  bool
	broken error
	// numbers are those of the methods named in the stream.
	numbers map[string]int
	// turn holds one token, taken by whoever writes.
	turn chan struct{}
}

func newFrameWriter(out net.Conn, limit int) *frameWriter {
	w := &frameWriter{out: out, limit: limit, turn: make(chan struct{}, 1)}
	w.restart()
	return w
}

// restart begins a new gob stream, after a value that could not be encoded or sent may have cost a type description.
func (w *frameWriter) restart() {
	w.buffer = bytes.Buffer{}
	w.enc = gob.NewEncoder(&w.buffer)
	w.reset = true
	w.numbers = make(map[string]int)
}

// number returns the header with a number for its method, without the name if the stream has it already.
func (w *frameWriter) number(head header) header {
	if head.Method == "" {
		return head
	}
	known, ok := w.numbers[head.Method]
	if ok {
		head.Number = known
		head.Method = ""
		return head
	}
	if len(w.numbers) < maxMethodNumbers && len(head.Method) <= maxNumberedMethodBytes {
		head.Number = len(w.numbers) + 1
		w.numbers[head.Method] = head.Number
	}
	return head
}

// errEncode wraps the errors of a body that cannot be sent; they leave the writer usable.
var errEncode = errors.New("rpc: cannot encode")

// write sends one frame and returns its size. sent is false when no byte was written. After an error that does not wrap
// errEncode or ctx's own, the connection is of no more use. Once begun, a frame is written whatever becomes of ctx.
func (w *frameWriter) write(ctx context.Context, head header, body any) (size int, sent bool, err error) {
	select {
	case w.turn <- struct{}{}:
	case <-ctx.Done():
		return 0, false, ctx.Err()
	}
	defer func() { <-w.turn }()
	if w.broken != nil {
		return 0, false, w.broken
	}
	frame, err := w.encode(head, body)
	if err != nil {
		w.restart()
		return 0, false, fmt.Errorf("%w: %w", errEncode, err)
	}
	written, err := w.send(frame)
	if err != nil {
		w.broken = fmt.Errorf("rpc: write: %w", err)
		return written, written > 0, w.broken
	}
	w.reset = false
	if w.buffer.Cap() > retainBufferBytes {
		w.restart()
	}
	return written, true, nil
}

func (w *frameWriter) send(frame []byte) (int, error) {
	if err := w.out.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.out.Write(frame)
}

// encode returns the frame, which stands in the writer's buffer.
func (w *frameWriter) encode(head header, body any) ([]byte, error) {
	w.buffer.Reset()
	w.buffer.Write(make([]byte, frameLengthBytes))
	if err := w.enc.Encode(w.number(head)); err != nil {
		return nil, err
	}
	if err := w.enc.Encode(body); err != nil {
		return nil, err
	}
	frame := w.buffer.Bytes()
	length := len(frame) - frameLengthBytes
	if length > w.limit {
		return nil, ErrFrameTooLarge
	}
	prefix := uint32(length)
	if w.reset {
		prefix |= resetFlag
	}
	binary.BigEndian.PutUint32(frame, prefix)
	return frame, nil
}

// frameReader reads frames. It is for one goroutine.
type frameReader struct {
	in     io.Reader
	limit  int
	buffer bytes.Buffer
	dec    *gob.Decoder
	// methods are those named in the stream; the number of the first is 1.
	methods []string
}

func newFrameReader(in io.Reader, limit int) *frameReader {
	r := &frameReader{in: in, limit: limit}
	r.dec = gob.NewDecoder(&r.buffer)
	return r
}

// next reads one frame into memory and decodes its header; body must be called once after it.
func (r *frameReader) next() (head header, size int, err error) {
	var prefix [frameLengthBytes]byte
	if _, err := io.ReadFull(r.in, prefix[:]); err != nil {
		return header{}, 0, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length&resetFlag != 0 {
		length &^= resetFlag
		r.dec = gob.NewDecoder(&r.buffer)
		r.methods = nil
	}
	if uint64(length) > uint64(r.limit) {
		return header{}, 0, ErrFrameTooLarge
	}
	if err := r.fill(int(length)); err != nil {
		return header{}, 0, err
	}
	if err := checkMessages(r.buffer.Bytes()); err != nil {
		return header{}, 0, err
	}
	if err := r.dec.Decode(&head); err != nil {
		return header{}, 0, fmt.Errorf("rpc: decode header: %w", err)
	}
	if err := r.name(&head); err != nil {
		return header{}, 0, err
	}
	return head, int(length) + frameLengthBytes, nil
}

// name fills in the method that the header's number stands for, or notes it.
func (r *frameReader) name(head *header) error {
	switch {
	case head.Number == 0:
		return nil
	case head.Method == "":
		if head.Number < 0 || head.Number > len(r.methods) {
			return fmt.Errorf("%w: unknown method number", ErrBadFrame)
		}
		head.Method = r.methods[head.Number-1]
		return nil
	case head.Number != len(r.methods)+1 || head.Number > maxMethodNumbers:
		return fmt.Errorf("%w: method number out of turn", ErrBadFrame)
	case len(head.Method) > maxNumberedMethodBytes:
		return fmt.Errorf("%w: numbered method too long", ErrBadFrame)
	}
	r.methods = append(r.methods, head.Method)
	return nil
}

// fill reads length bytes in chunks, so that a false length costs no memory.
func (r *frameReader) fill(length int) error {
	r.buffer.Reset()
	for length > 0 {
		chunk := int64(min(length, readChunkBytes))
		if _, err := io.CopyN(&r.buffer, r.in, chunk); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		length -= int(chunk)
	}
	return nil
}

// body decodes the body into target; a nil target discards it.
func (r *frameReader) body(target any) error {
	if err := r.dec.Decode(target); err != nil {
		return fmt.Errorf("rpc: decode body: %w", err)
	}
	if r.buffer.Len() > 0 {
		return fmt.Errorf("%w: bytes after the body", ErrBadFrame)
	}
	if r.buffer.Cap() > retainBufferBytes {
		r.buffer = bytes.Buffer{}
	}
	return nil
}

// checkMessages checks that the gob messages of a frame end where the frame does. The decoder allocates a message's
// stated length before it reads it, so a false one must not reach it.
func checkMessages(frame []byte) error {
	for len(frame) > 0 {
		length, prefix := gobUint(frame)
		if prefix == 0 || length > uint64(len(frame)-prefix) {
			return fmt.Errorf("%w: a message leaves the frame", ErrBadFrame)
		}
		frame = frame[prefix+int(length):]
	}
	return nil
}

// gobUint decodes gob's unsigned integer: one byte below 128, else the negated count of the big-endian bytes that
// follow. It returns the bytes it takes up, 0 if it is not whole.
func gobUint(data []byte) (value uint64, size int) {
	const maxOneByte = 0x7f
	const maxCount = 8
	if data[0] <= maxOneByte {
		return uint64(data[0]), 1
	}
	count := -int(int8(data[0]))
	if count > maxCount || len(data) < 1+count {
		return 0, 0
	}
	for _, digit := range data[1 : 1+count] {
		value = value<<8 | uint64(digit)
	}
	return value, 1 + count
}
