package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/httperr"
)

const (
	doneData       = "[DONE]"
	headerLastID   = "Last-Event-ID"
	contentTypeSSE = "text/event-stream"
	// streamWriteTimeout bounds how long a caller may take to read what there is of its stream.
	streamWriteTimeout = 30 * time.Second
)

// eventLog holds the events of one stream. One goroutine appends; any number of readers follow it, each from
// its own place, so that a caller that lost its connection can read on where it stopped.
type eventLog struct {
	requestID   string
	fingerprint uint64

	mu      sync.Mutex
	events  []string // encoded data, numbered from 1
	bytes   int
	failure *v1.Error
	ended   bool
	changed chan struct{} // closed and replaced at every change
}

func newEventLog(requestID string, fingerprint uint64) *eventLog {
	return &eventLog{requestID: requestID, fingerprint: fingerprint, changed: make(chan struct{})}
}

// append adds one chunk.
func (l *eventLog) append(chunk openAIResponse) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("gateway: encode chunk: %w", err)
	}
	l.add(string(data))
	return nil
}

func (l *eventLog) add(data string) {
	l.change(func() {
		l.events = append(l.events, data)
		l.bytes += len(data)
	})
}

// end closes the log: with failure nil by [DONE], else by an error event.
func (l *eventLog) end(failure *v1.Error) {
	if failure == nil {
		l.add(doneData)
	}
	l.change(func() {
		l.failure = failure
		l.ended = true
	})
}

func (l *eventLog) change(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
	close(l.changed)
	l.changed = make(chan struct{})
}

// position is what a reader sees of a log.
type position struct {
	events  []string
	failure *v1.Error
	ended   bool
	changed <-chan struct{}
}

// after returns the events after the first n and the state of the log.
func (l *eventLog) after(n int) position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return position{events: l.events[min(n, len(l.events)):], failure: l.failure, ended: l.ended, changed: l.changed}
}

func (l *eventLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// await blocks until there is something after the first n events, or ctx ends.
func (l *eventLog) await(ctx context.Context, n int) (position, error) {
	for {
		seen := l.after(n)
		if len(seen.events) > 0 || seen.ended {
			return seen, nil
		}
		select {
		case <-seen.changed:
		case <-ctx.Done():
			return position{}, ctx.Err()
		}
	}
}

// eventID identifies an event over all streams, so that a reader is never given the continuation of another answer.
func (l *eventLog) eventID(number int) string {
	return l.requestID + "." + strconv.Itoa(number)
}

// parseEventID is the inverse of eventID.
func parseEventID(id string) (requestID string, number int, ok bool) {
	cut := strings.LastIndexByte(id, '.')
	if cut < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(id[cut+1:])
	return id[:cut], number, err == nil && number >= 0
}

// serveStream writes the events of the log after the first n until its end, or until the caller is gone.
// A failure before the first event is answered as a plain error with its status.
func serveStream(c *gin.Context, l *eventLog, n int) {
	ctx := c.Request.Context()
	control := http.NewResponseController(c.Writer)
	// The deadline must not outlast the stream: the connection may carry further requests.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	started := false
	for {
		seen, err := l.await(ctx, n)
		if err != nil {
			return
		}
		if !started && len(seen.events) == 0 && seen.failure != nil && n == 0 {
			httperr.Write(c, seen.failure)
			return
		}
		if !started {
			startStream(c)
			started = true
		}
		// A caller that does not read is cut off, so that it cannot hold up a drain.
		_ = control.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		for _, data := range seen.events {
			n++
			if _, err := fmt.Fprintf(c.Writer, "id: %s\ndata: %s\n\n", l.eventID(n), data); err != nil {
				return
			}
		}
		if seen.ended {
			endStream(c, seen.failure)
			return
		}
		c.Writer.Flush()
	}
}

func startStream(c *gin.Context) {
	header := c.Writer.Header()
	header.Set("Content-Type", contentTypeSSE)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	c.Writer.WriteHeaderNow()
}

// endStream writes the error event of a stream that failed; one that completed already ended with [DONE].
func endStream(c *gin.Context, failure *v1.Error) {
	if failure != nil {
		data, err := json.Marshal(httperr.Body(failure))
		if err == nil {
			fmt.Fprintf(c.Writer, "event: error\ndata: %s\n\n", data)
		}
	}
	c.Writer.Flush()
}

// has reports whether the log has an event of the number, 0 standing for its beginning.
func (l *eventLog) has(number int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return number <= len(l.events)
}

// clampToEnd returns the number, or the one before it if it is that of [DONE], so that a resumed stream has an end too.
func (l *eventLog) clampToEnd(number int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended && l.failure == nil {
		return min(number, len(l.events)-1)
	}
	return number
}
