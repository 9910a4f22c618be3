package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// asyncLines is how many lines may wait for a slow reader of the logs.
	asyncLines = 4096
	// linesPerSecond and burstLines bound the lines that are written.
	linesPerSecond = 1000
	burstLines     = 4000
)

// AsyncWriter writes lines to another writer without ever blocking its caller: lines that find no room, or that are above the
// bound on lines a second, are dropped and counted, and the count is told in a line of its own before the next one.
type AsyncWriter struct {
	out     io.Writer
	bound   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	stop    sync.Once
	done    chan struct{}
}

// NewAsyncWriter starts a writer to out. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, bound: rate.NewLimiter(linesPerSecond, burstLines), lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.bound.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *AsyncWriter) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() int64 { return w.total.Load() }

// Close writes what waits and ends the writer. Nothing may be written after it. A reader that does not read holds it up.
func (w *AsyncWriter) Close() {
	w.stop.Do(func() { close(w.lines) })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(w.out, "level=warn part=log msg=\"lines dropped\" count=%d\n", dropped)
		}
		// A log that cannot be written has nowhere to tell so.
		_, _ = w.out.Write(line)
	}
}
