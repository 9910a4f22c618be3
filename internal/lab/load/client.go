package load

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	v1 "github.com/covelink/covelink/api/v1"
)

// The headers of covelink's caller API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Covelink-Repeatable"
)

// question is one request to be sent.
type question struct {
	// key is the request's idempotency key.
	key           string
	prompt        string
	seed          int64
	notRepeatable bool
}

// answer is what the client saw of a request.
type answer struct {
	outcome        v1.Outcome
	text           string
	finishReason   string
	started, ended time.Time
	firstToken     time.Time
	// connected is true once the request had a connection on which it may have been sent.
	connected atomic.Bool
}

// newClient returns an OpenAI client for one node. It never retries by itself, for every try is to be seen.
func newClient(base, token string, transport http.RoundTripper) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(strings.TrimSuffix(base, "/")+"/v1/"),
		option.WithAPIKey(token),
		option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: transport}),
	)
}

// ask sends a question as a stream and reads the whole answer.
func ask(ctx context.Context, client openai.Client, config Config, question question) *answer {
	result := &answer{started: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.connected.Store(true) }})
	stream := client.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(config.Pool),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(question.prompt)},
		MaxTokens: openai.Int(int64(config.MaxTokens)),
		Seed:      openai.Int(question.seed),
	}, option.WithHeader(headerIdempotencyKey, question.key),
		option.WithHeader(headerRepeatable, strconv.FormatBool(!question.notRepeatable)))
	defer stream.Close()
	result.read(stream)
	result.ended = time.Now()
	result.outcome = result.judge(stream.Err())
	return result
}

func (a *answer) read(stream *ssestream.Stream[openai.Completion]) {
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			if choice.Text != "" && a.firstToken.IsZero() {
				a.firstToken = time.Now()
			}
			text.WriteString(choice.Text)
			if choice.FinishReason != "" {
				a.finishReason = string(choice.FinishReason)
			}
		}
	}
	a.text = text.String()
}

// judge returns the outcome that the client was told. A stream that ends without a finish reason told nothing.
func (a *answer) judge(err error) v1.Outcome {
	if err == nil && a.finishReason != "" {
		if a.firstToken.IsZero() {
			a.firstToken = a.ended
		}
		return v1.OutcomeCompleted
	}
	var refused *openai.Error
	if errors.As(err, &refused) {
		return statedOutcome([]byte(refused.RawJSON()))
	}
	var broken *ssestream.StreamError
	if errors.As(err, &broken) {
		return statedOutcome(broken.Event.Data)
	}
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" && !a.connected.Load() {
		// Without a connection nothing was sent. With one, the failure is that of a repeat: net/http sends a request with an idempotency key
		// again when an open connection breaks before the answer.
		return v1.OutcomeNotRun
	}
	return v1.OutcomeUnknown
}

// errorBody is the part of an error object that states the outcome, with or without its envelope.
type errorBody struct {
	Outcome v1.Outcome `json:"outcome"`
	Error   *errorBody `json:"error"`
}

// statedOutcome returns the outcome that an error states; without one it is unknown.
func statedOutcome(body []byte) v1.Outcome {
	var stated errorBody
	if json.Unmarshal(body, &stated) != nil {
		return v1.OutcomeUnknown
	}
	if stated.Error != nil {
		stated = *stated.Error
	}
	if stated.Outcome == v1.OutcomeNotRun {
		return v1.OutcomeNotRun
	}
	return v1.OutcomeUnknown
}
