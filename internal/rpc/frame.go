package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"sync"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	preamble          = "covelink-rpc/1\n"
	frameLengthBytes  = 4
	readChunkBytes    = 64 << 10
	retainBufferBytes = 1 << 20
)

// DefaultMaxFrameBytes bounds a frame unless the settings say otherwise.
const DefaultMaxFrameBytes = 16 << 20

// header precedes every body.
type header struct {
	ID     uint64
	Method string // empty in a reply
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
	mu     sync.Mutex
	out    io.Writer
	limit  int
	buffer bytes.Buffer
	enc    *gob.Encoder
	broken bool
}

func newFrameWriter(out io.Writer, limit int) *frameWriter {
	w := &frameWriter{out: out, limit: limit}
	w.enc = gob.NewEncoder(&w.buffer)
	return w
}

// write sends one frame and returns its size. sent is false when no byte was written. After an error the writer is broken,
// since the gob stream may have lost a type description.
func (w *frameWriter) write(head header, body any) (size int, sent bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken {
		return 0, false, io.ErrClosedPipe
	}
	w.buffer.Reset()
	w.buffer.Write(make([]byte, frameLengthBytes))
	if err := w.encode(head, body); err != nil {
		w.broken = true
		return 0, false, err
	}
	frame := w.buffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthBytes))
	written, err := w.out.Write(frame)
	if err != nil {
		w.broken = true
		return written, written > 0, err
	}
	size = len(frame)
	if w.buffer.Cap() > retainBufferBytes {
		w.buffer = bytes.Buffer{}
	}
	return size, true, nil
}

func (w *frameWriter) encode(head header, body any) error {
	if err := w.enc.Encode(head); err != nil {
		return fmt.Errorf("rpc: encode header: %w", err)
	}
	if err := w.enc.Encode(body); err != nil {
		return fmt.Errorf("rpc: encode body: %w", err)
	}
	if w.buffer.Len()-frameLengthBytes > w.limit {
		return ErrFrameTooLarge
	}
	return nil
}

// frameReader reads frames. It is for one goroutine.
type frameReader struct {
	in     io.Reader
	limit  int
	buffer bytes.Buffer
	dec    *gob.Decoder
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
	if uint64(length) > uint64(r.limit) {
		return header{}, 0, ErrFrameTooLarge
	}
	if err := r.fill(int(length)); err != nil {
		return header{}, 0, err
	}
	if err := r.dec.Decode(&head); err != nil {
		return header{}, 0, fmt.Errorf("rpc: decode header: %w", err)
	}
	return head, int(length) + frameLengthBytes, nil
}

// fill reads length bytes in chunks, so that a false length costs no memory.
func (r *frameReader) fill(length int) error {
	r.buffer.Reset()
	for length > 0 {
		chunk := int64(min(length, readChunkBytes))
		if _, err := io.CopyN(&r.buffer, r.in, chunk); err != nil {
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
	return nil
}
