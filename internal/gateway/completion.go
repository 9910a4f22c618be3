package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/httperr"
)

// errOutOfOrder cancels a task whose progress leaves a gap or repeats tokens.
var errOutOfOrder = errors.New("gateway: tokens out of order")

func (g *Gateway) completions(c *gin.Context)     { g.serveCompletion(c, false) }
func (g *Gateway) chatCompletions(c *gin.Context) { g.serveCompletion(c, true) }

func (g *Gateway) serveCompletion(c *gin.Context, chat bool) {
	view := g.params.Source.Current()
	application, err := applicationOf(c, view)
	if err != nil {
		httperr.Write(c, err)
		return
	}
	if err := g.checkZone(application, view); err != nil {
		httperr.Write(c, err)
		return
	}
	if lastID := c.GetHeader(headerLastID); lastID != "" {
		g.resumeStream(c, application, lastID, chat)
		return
	}
	if err := g.serving(view); err != nil {
		httperr.Write(c, err)
		return
	}
	release, err := g.admission.acquire(application, view)
	if err != nil {
		httperr.Write(c, err)
		return
	}
	call, err := g.prepare(c, application, view, chat)
	if err != nil {
		release()
		httperr.Write(c, err)
		return
	}
	if call.request.stream {
		g.serveNewStream(c, call, release)
		return
	}
	defer release()
	g.serveWhole(c, call)
}

// serveWhole answers in one piece.
func (g *Gateway) serveWhole(c *gin.Context, call *completionCall) {
	ctx, cancel := call.context(c.Request.Context())
	defer cancel()
	answer, failure := g.execute(ctx, call, nil)
	if failure != nil {
		httperr.Write(c, failure)
		return
	}
	c.JSON(http.StatusOK, call.shape.answered(answer).whole(answer))
}

// context returns the context of the call's execution. A call that the caller can come back to goes on without it.
func (call *completionCall) context(parent context.Context) (context.Context, context.CancelFunc) {
	if call.keyed() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, call.deadline)
}

// serveNewStream executes the call in the background and streams its events.
func (g *Gateway) serveNewStream(c *gin.Context, call *completionCall, release func()) {
	log := newEventLog(call.requestID, call.request.fingerprint())
	if call.keyed() {
		g.replays.start(call.replayKey(), log)
	}
	ctx, cancel := call.context(c.Request.Context())
	g.work.beginBackground()
	go func() {
		defer g.work.endBackground()
		defer release()
		defer cancel()
		g.executeStream(ctx, call, log)
		if call.keyed() {
			g.replays.finish(call.replayKey(), log)
		}
	}()
	serveStream(c, log, 0)
}

// executeStream runs the call and appends its chunks to the log, which it always ends.
func (g *Gateway) executeStream(ctx context.Context, call *completionCall, log *eventLog) {
	sent := 0
	progress := func(run dispatch.Progress) error {
		if run.Index != sent {
			return errOutOfOrder
		}
		if len(run.Tokens) == 0 {
			return nil
		}
		first := sent == 0
		sent += len(run.Tokens)
		return log.append(call.shape.delta(strings.Join(run.Tokens, ""), first))
	}
	answer, failure := g.execute(ctx, call, progress)
	if failure == nil && len(answer.Tokens) < sent {
		failure = unknown(v1.CodeInternal, "the answer is shorter than its stream")
	}
	if failure != nil {
		log.end(failure)
		return
	}
	log.end(appendRest(log, call, answer, sent))
}

// appendRest adds the tokens not yet streamed and the closing chunks.
func appendRest(log *eventLog, call *completionCall, answer *StoredAnswer, sent int) *v1.Error {
	shape := call.shape.answered(answer)
	var chunks []openAIResponse
	if rest := answer.Tokens[sent:]; len(rest) > 0 {
		chunks = append(chunks, shape.delta(strings.Join(rest, ""), sent == 0))
	}
	chunks = append(chunks, shape.last(answer))
	if call.request.includeUsage {
		chunks = append(chunks, shape.usage(answer))
	}
	for _, chunk := range chunks {
		if err := log.append(chunk); err != nil {
			return unknown(v1.CodeInternal, "the answer cannot be encoded")
		}
	}
	return nil
}

// resumeStream serves what follows an event of a stream that this gateway still holds.
func (g *Gateway) resumeStream(c *gin.Context, application *v1.Application, lastID string, chat bool) {
	request, err := g.readCompletion(c, chat)
	if err == nil {
		err = g.checkPool(request, application, g.params.Source.Current())
	}
	if err != nil {
		httperr.Write(c, err)
		return
	}
	key := replayKey{caller: application.Metadata.Name, key: c.GetHeader(headerIdempotencyKey)}
	log := g.replays.find(key)
	requestID, number, ok := parseEventID(lastID)
	held := log != nil && ok && log.requestID == requestID && log.fingerprint == request.fingerprint()
	if !held || !log.has(number) {
		httperr.Write(c, unknown(v1.CodeGone, "the stream is not held here any more"))
		return
	}
	serveStream(c, log, log.clampToEnd(number))
}

// execute runs the call, under a claim if it needs one. A call with a key that its caller states to be repeatable runs
// without a claim when none can be had. Exactly one of the results is nil.
func (g *Gateway) execute(ctx context.Context, call *completionCall, progress func(dispatch.Progress) error) (*StoredAnswer, *v1.Error) {
	if call.claim == nil {
		return g.dispatch(ctx, call, progress)
	}
	result, err := g.params.Claims.Claim(ctx, *call.claim)
	if err != nil {
		g.finishClaim(ctx, call, StoredOutcome{Outcome: v1.OutcomeNotRun})
		if call.mayRunUnclaimed {
			call.claim = nil
			return g.dispatch(ctx, call, progress)
		}
		return nil, claimFailure(err)
	}
	if result.State != ClaimGranted {
		return existing(call, result)
	}
	answer, failure := g.dispatch(ctx, call, progress)
	stored := StoredOutcome{Outcome: v1.OutcomeCompleted, Answer: answer}
	if failure != nil {
		stored = StoredOutcome{Outcome: failure.Outcome}
	}
	g.finishClaim(ctx, call, stored)
	return answer, failure
}

// dispatch runs the call on an engine.
func (g *Gateway) dispatch(ctx context.Context, call *completionCall, progress func(dispatch.Progress) error) (*StoredAnswer, *v1.Error) {
	produced := false
	noted := progress
	if progress != nil {
		noted = func(run dispatch.Progress) error {
			produced = true
			return progress(run)
		}
	}
	result := g.params.Dispatcher.Dispatch(ctx, call.task(), noted)
	if result.Outcome != v1.OutcomeCompleted {
		failure := failureOf(result, produced || len(result.Tokens) > 0)
		level.Info(g.logger).Log("msg", "request failed", "request", call.requestID, "pool", call.request.pool,
			"outcome", failure.Outcome, "code", failure.Code, "attempts", result.Attempts)
		return nil, failure
	}
	return &StoredAnswer{
		RequestID:    call.requestID,
		Tokens:       result.Tokens,
		Segments:     result.Segments,
		FinishReason: result.FinishReason,
		CreatedUnix:  call.shape.created,
	}, nil
}

// failureOf returns the error of a result, which states the result's outcome. What has produced tokens is never
// stated as not run.
func failureOf(result dispatch.Result, produced bool) *v1.Error {
	failure := v1.Error{Code: v1.CodeInternal, Message: "the request failed"}
	if result.Err != nil {
		failure = *result.Err
	}
	failure.Outcome = v1.OutcomeNotRun
	if produced || result.Outcome != v1.OutcomeNotRun {
		failure.Outcome = v1.OutcomeUnknown
		failure.RetryAfter = 0
	}
	return &failure
}

func unknown(code v1.ErrorCode, format string, args ...any) *v1.Error {
	err := v1.Errorf(code, format, args...)
	err.Outcome = v1.OutcomeUnknown
	return err
}

func (g *Gateway) models(c *gin.Context) {
	view := g.params.Source.Current()
	application, err := applicationOf(c, view)
	if err != nil {
		httperr.Write(c, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(slices.Values(application.Spec.Pools)) {
		pool, ok := view.Pools[name]
		if ok && view.Permitted(name, g.params.Self.Zone) {
			created := max(pool.Metadata.CreationTimestamp.Unix(), 0)
			list.Data = append(list.Data, model{ID: name, Object: "model", Created: created, OwnedBy: "covelink"})
		}
	}
	c.JSON(http.StatusOK, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
