// Package rpc carries typed requests between covelink nodes: gob over long-lived TCP or mutual TLS.
//
// A connection starts with a fixed preamble and a hello that names the caller. After it, each frame is a
// four-byte big-endian length and two gob values, a header and a body, of one gob stream per direction, so
// that type descriptions cross a connection once. The length is checked before a frame is read and its
// memory grows only with the bytes that arrive. A request names its method by the Go type of its body, in full
// the first time in a stream and by a number after that; an unknown method is answered by an error and does not disturb the connection.
//
// Call distinguishes a request that was never sent (ErrNotSent) from one whose fate is unknown (ErrLost).
package rpc
