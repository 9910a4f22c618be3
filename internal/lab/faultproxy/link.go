package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the largest run of bytes carried at once.
	chunkBytes = 16 << 10
	// queuedChunks bounds the bytes under way in one direction of a link.
	queuedChunks = 256
	// pieceFraction is the part of a second for which a slow link writes at once.
	pieceFraction = 100
)

// errCut tells that a fault ends the connection.
var errCut = errors.New("connection cut by a fault")

// link is one connection through the proxy.
type link struct {
	client, target net.Conn
	ctx            context.Context
	cancel         context.CancelFunc
	once           sync.Once
	// silent is true once the link drops everything for good, the end of either stream included.
	silent atomic.Bool
	// watching holds the goroutines that wait for the end of a black hole.
	watching sync.WaitGroup
}

// chunk is a run of bytes under way, to be written at due. The end of the stream is a chunk without bytes.
type chunk struct {
	bytes []byte
	due   time.Time
}

func newLink(client, target net.Conn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{client: client, target: target, ctx: ctx, cancel: cancel}
}

// reset ends the link at once.
func (l *link) reset() {
	l.once.Do(func() {
		l.cancel()
		abort(l.client)
		abort(l.target)
	})
}

// run carries both directions until both have ended or one of them fails.
func (l *link) run(faults [directions]*faultState) {
	var both sync.WaitGroup
	both.Go(func() { l.carry(l.client, l.target, faults[ToTarget]) })
	both.Go(func() { l.carry(l.target, l.client, faults[ToClient]) })
	both.Wait()
	l.cancel()
	_ = l.client.Close()
	_ = l.target.Close()
	l.watching.Wait()
}

// carry moves one direction.
func (l *link) carry(from, to net.Conn, state *faultState) {
	pipe := &pipe{link: l, from: from, to: to, state: state, queue: make(chan chunk, queuedChunks)}
	var halves sync.WaitGroup
	halves.Go(func() {
		defer close(pipe.queue)
		if err := pipe.receive(); err != nil {
			l.reset()
		}
	})
	halves.Go(func() {
		if err := pipe.send(); err != nil {
			l.reset()
		}
		pipe.discard()
	})
	halves.Wait()
}

// pipe is one direction of a link: a receiver and a sender with a queue of chunks in between, so that a delay
// does not limit the bandwidth.
type pipe struct {
	link     *link
	from, to net.Conn
	state    *faultState
	queue    chan chunk
	lost     bool
}

// receive takes bytes in until the stream ends. An error means that the link must be reset.
func (p *pipe) receive() error {
	buffer := make([]byte, chunkBytes)
	for {
		if err := p.waitThawed(); err != nil {
			return err
		}
		count, err := p.from.Read(buffer)
		if count > 0 {
			if err := p.take(buffer[:count]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return err
		}
	}
}

// take puts bytes on their way or drops them.
func (p *pipe) take(bytes []byte) error {
	if p.link.silent.Load() {
		return nil
	}
	faults, _ := p.state.get()
	if faults.Blackhole {
		p.lose()
		return nil
	}
	if p.lost {
		return errCut
	}
	return p.enqueue(append([]byte(nil), bytes...), faults.Delay)
}

// lose notes that bytes were dropped. The link is reset when the fault ends, also if no more bytes come.
func (p *pipe) lose() {
	if p.lost {
		return
	}
	p.lost = true
	p.link.watching.Go(func() {
		if p.awaitNoBlackhole() == nil {
			p.link.reset()
		}
	})
}

// awaitNoBlackhole returns nil when the black hole has ended, or the error of a link that has ended before.
func (p *pipe) awaitNoBlackhole() error {
	for {
		faults, changed := p.state.get()
		if !faults.Blackhole {
			return nil
		}
		select {
		case <-changed:
		case <-p.link.ctx.Done():
			return p.link.ctx.Err()
		}
	}
}

// end carries the end of the stream, unless a black hole swallows it: then the link waits for the fault to end.
func (p *pipe) end() error {
	if p.link.silent.Load() {
		return nil
	}
	if faults, _ := p.state.get(); faults.Blackhole {
		p.lost = true
	}
	if err := p.awaitNoBlackhole(); err != nil {
		return err
	}
	if p.lost {
		return errCut
	}
	faults, _ := p.state.get()
	return p.enqueue(nil, faults.Delay)
}

func (p *pipe) enqueue(bytes []byte, delay time.Duration) error {
	select {
	case p.queue <- chunk{bytes: bytes, due: time.Now().Add(delay)}:
		return nil
	case <-p.link.ctx.Done():
		return p.link.ctx.Err()
	}
}

// send writes the chunks when they are due. An error means that the link must be reset.
func (p *pipe) send() error {
	for next := range p.queue {
		if err := p.waitDue(next.due); err != nil {
			return err
		}
		if err := p.waitWhile(func(faults Faults) bool { return faults.Frozen || faults.Held }); err != nil {
			return err
		}
		if err := p.write(next.bytes); err != nil {
			return err
		}
	}
	return nil
}

// discard empties the queue so that the receiver is never stuck behind a sender that has ended.
func (p *pipe) discard() {
	for {
		if _, open := <-p.queue; !open {
			return
		}
	}
}

func (p *pipe) waitDue(due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-p.link.ctx.Done():
		return p.link.ctx.Err()
	}
}

func (p *pipe) waitThawed() error {
	return p.waitWhile(func(faults Faults) bool { return faults.Frozen })
}

// waitWhile waits until the direction's faults do not match, or the link ends.
func (p *pipe) waitWhile(match func(faults Faults) bool) error {
	for {
		faults, changed := p.state.get()
		if !match(faults) {
			return nil
		}
		select {
		case <-changed:
		case <-p.link.ctx.Done():
			return p.link.ctx.Err()
		}
	}
}

// write carries bytes under the bandwidth limit and cuts the link where a fault says so.
func (p *pipe) write(bytes []byte) error {
	if bytes == nil {
		return closeWrite(p.to)
	}
	faults, _ := p.state.get()
	if faults.BytesPerSecond > 0 {
		return p.writeSlowly(bytes, faults)
	}
	return p.writeUncut(bytes, faults)
}

// writeSlowly writes small pieces, each after the time it takes at the limited bandwidth.
func (p *pipe) writeSlowly(bytes []byte, faults Faults) error {
	piece := max(1, min(len(bytes), faults.BytesPerSecond/pieceFraction))
	limiter := rate.NewLimiter(rate.Limit(faults.BytesPerSecond), piece)
	limiter.AllowN(time.Now(), piece)
	for len(bytes) > 0 {
		count := min(piece, len(bytes))
		if err := limiter.WaitN(p.link.ctx, count); err != nil {
			return err
		}
		if err := p.writeUncut(bytes[:count], faults); err != nil {
			return err
		}
		bytes = bytes[count:]
	}
	return nil
}

func (p *pipe) writeUncut(bytes []byte, faults Faults) error {
	if faults.CutAfterBytes <= 0 {
		_, err := p.to.Write(bytes)
		return err
	}
	allowed, cut := p.state.spend(len(bytes))
	if _, err := p.to.Write(bytes[:allowed]); err != nil {
		return err
	}
	if cut {
		return errCut
	}
	return nil
}

func closeWrite(connection net.Conn) error {
	if tcp, ok := connection.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return connection.Close()
}
