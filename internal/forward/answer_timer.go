package forward

import (
	"context"
	"fmt"
	"io"
	"time"
)

// errAnswerTimeout ends an attempt at an engine that does not respond, while another engine may be tried.
var errAnswerTimeout = fmt.Errorf("forward: engine did not respond within the attempt timeout: %w", context.DeadlineExceeded)

// answerTimer ends an attempt at an engine that does not respond. It bounds the wait for the head of the response and, as long as the response is
// buffered and another engine can still be asked, that for each part of the body. A stream that has begun is not bounded by it.
type answerTimer struct {
	timer *time.Timer
	limit time.Duration
}

// startAnswerTimer returns a timer that calls expire after the limit; zero sets no limit.
func startAnswerTimer(limit time.Duration, expire func()) *answerTimer {
	t := &answerTimer{limit: limit}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, expire)
	}
	return t
}

// stop ends the wait. It returns false if the timer has expired.
func (t *answerTimer) stop() bool { return t.timer == nil || t.timer.Stop() }

// restart begins the wait for the next part of a response, unless the timer has expired.
func (t *answerTimer) restart() {
	if t.timer != nil && t.timer.Stop() {
		t.timer.Reset(t.limit)
	}
}

// timedReader restarts a timer with each part that it reads.
type timedReader struct {
	io.Reader
	timer *answerTimer
}

// Read implements io.Reader.
func (r *timedReader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	if n > 0 {
		r.timer.restart()
	}
	return n, err
}
