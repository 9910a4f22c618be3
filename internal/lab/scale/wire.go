package scale

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/covelink/covelink/coord/membership"
)

const (
	frameLengthBytes = 4
	messageMethod    = "membership.memberMessage"
	callTimeout      = 2500 * time.Millisecond
)

// The values of a frame, of the shapes that internal/rpc and internal/membership send.
type (
	frameHeader struct {
		ID      uint64
		Method  string
		Timeout time.Duration
		Failure *frameFailure
		Cancel  bool
	}
	frameFailure struct{ Message string }
	frameBody    struct{ Message membership.Message }
)

// wire is one direction of a long-lived connection: type descriptions cross it once.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	calls   uint64
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(&w.buffer)
	w.decoder = gob.NewDecoder(&w.buffer)
	return w
}

// carry encodes a frame, decodes it again, and returns its size.
func (w *wire) carry(message membership.Message, answer bool) (membership.Message, int, error) {
	w.calls++
	head := frameHeader{ID: w.calls}
	if !answer {
		head.Method, head.Timeout = messageMethod, callTimeout
	}
	if err := w.encoder.Encode(head); err != nil {
		return membership.Message{}, 0, err
	}
	if err := w.encoder.Encode(frameBody{message}); err != nil {
		return membership.Message{}, 0, err
	}
	size := frameLengthBytes + w.buffer.Len()
	var body frameBody
	if err := w.decoder.Decode(&frameHeader{}); err != nil {
		return membership.Message{}, 0, err
	}
	err := w.decoder.Decode(&body)
	return body.Message, size, err
}
