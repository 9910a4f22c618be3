package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/covelink/covelink/api/enginev1"
)

// streamEnd is the last data of a whole stream.
const streamEnd = "[DONE]"

// streamKey identifies a stream.
type streamKey struct {
	requestID string
	attempt   uint32
}

// stream carries the events of one execution from the driver to its handler.
type stream struct {
	connection net.Conn
	execution  *Execution
	// queue holds the events not yet written; the engine's mutex guards it.
	queue []enginev1.TokenEvent
	// ready holds a value when queue may have grown.
	ready chan struct{}
}

// deliver hands an event to its stream; the mutex is held.
func (e *Engine) deliver(now time.Time, event enginev1.TokenEvent) {
	key := streamKey{requestID: event.RequestID, attempt: event.Attempt}
	target := e.life.streams[key]
	if target == nil {
		return
	}
	target.execution.observe(now, event)
	target.queue = append(target.queue, event)
	if event.Final != nil {
		delete(e.life.streams, key)
	}
	select {
	case target.ready <- struct{}{}:
	default:
	}
}

// submission is an accepted request.
type submission struct {
	life   *life
	stream *stream
	fault  *Fault
}

// submit hands a request to the simulation.
func (e *Engine) submit(request enginev1.CompletionRequest, connection net.Conn) (submission, *enginev1.Refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if refusal := e.life.simulation.Submit(now, request); refusal != nil {
		return submission{}, refusal
	}
	begun := &stream{
		connection: connection,
		execution:  newExecution(now, e.life.simulation.Identity(), request),
		ready:      make(chan struct{}, 1),
	}
	e.executions.add(begun.execution)
	e.life.streams[streamKey{requestID: request.RequestID, attempt: request.Attempt}] = begun
	e.wakeDriver()
	return submission{life: e.life, stream: begun, fault: takeFirst(&e.faults.streams)}, nil
}

// handleCompletion answers PathCompletions.
func (e *Engine) handleCompletion(c *gin.Context) {
	var request enginev1.CompletionRequest
	if !e.read(c, &request) || !e.awaitThaw(c.Request.Context()) {
		return
	}
	if e.refuseLate(c) {
		return
	}
	accepted, refusal := e.submit(request, connectionOf(c.Request))
	if refusal != nil {
		writeRefusal(c, refusal)
		return
	}
	// The attempt ends with the handler, whatever ended the stream.
	defer e.abandon(accepted, enginev1.CancelRequest{RequestID: request.RequestID, Attempt: request.Attempt})
	c.Header("Content-Type", "text/event-stream")
	c.Header("Cache-Control", "no-cache")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	e.writeStream(c, accepted)
}

// abandon cancels an execution whose stream has ended, unless it has ended itself.
func (e *Engine) abandon(of submission, request enginev1.CancelRequest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	key := streamKey{requestID: request.RequestID, attempt: request.Attempt}
	if e.life == of.life && e.life.streams[key] == of.stream {
		e.cancel(request)
	}
}

// refuseLate refuses a request after a delay if that fault is on.
func (e *Engine) refuseLate(c *gin.Context) bool {
	e.mutex.Lock()
	fault := takeFirst(&e.faults.refusals)
	e.mutex.Unlock()
	if fault == nil {
		return false
	}
	if sleep(c.Request.Context(), fault.delay()) {
		writeRefusal(c, &enginev1.Refusal{Reason: enginev1.RefusedFull, Message: "refused after a delay"})
	}
	return true
}

// writeStream writes the events of a stream until it ends or the client goes.
func (e *Engine) writeStream(c *gin.Context, accepted submission) {
	distorter := distorter{fault: accepted.fault}
	keepAlive := time.NewTicker(enginev1.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-c.Request.Context().Done():
			return
		case <-accepted.life.ended.Done():
			return
		case <-keepAlive.C:
			if !e.frozen() {
				_, _ = c.Writer.WriteString(enginev1.KeepAliveLine + "\n\n")
				c.Writer.Flush()
			}
			continue
		case <-accepted.stream.ready:
		}
		for _, event := range e.takeQueue(accepted.stream) {
			sent, verdict := distorter.apply(event)
			ended := writeEvents(c, sent) != nil
			if verdict != verdictSend {
				e.endEarly(accepted, verdict, c)
				return
			}
			if ended {
				return
			}
			if event.Final != nil {
				writeData(c, []byte(streamEnd))
				return
			}
		}
		c.Writer.Flush()
	}
}

func (e *Engine) takeQueue(source *stream) []enginev1.TokenEvent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	taken := source.queue
	source.queue = nil
	return taken
}

// endEarly ends a stream as its fault says. What was written before reaches the client.
func (e *Engine) endEarly(accepted submission, verdict verdict, c *gin.Context) {
	c.Writer.Flush()
	switch verdict {
	case verdictReset:
		resetConnection(accepted.stream.connection)
	case verdictCrash:
		e.crash(accepted)
	}
}

// crash restarts the engine unless the stream's life is over already.
func (e *Engine) crash(accepted submission) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	resetConnection(accepted.stream.connection)
	if e.life == accepted.life {
		e.restart(time.Now())
		e.wakeDriver()
	}
}

func writeEvents(c *gin.Context, events []enginev1.TokenEvent) error {
	for _, event := range events {
		data, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if err := writeData(c, data); err != nil {
			return err
		}
	}
	return nil
}

// writeData writes one server-sent event.
func writeData(c *gin.Context, data []byte) error {
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := c.Writer.Write(line)
	return err
}
