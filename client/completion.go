package client

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	completionsPath = "/v1/completions"
	doneData        = "[DONE]"
	maxEventBytes   = 8 << 20
)

// CompletionRequest asks for one answer.
type CompletionRequest struct {
	// Pool names the pool.
	Pool      string
	Prompt    string
	MaxTokens int
	Seed      int64
	// IdempotencyKey names the request, so that asking again with it does not run it twice where the nodes keep claims.
	IdempotencyKey string
	// NotRepeatable makes the request run at most once.
	NotRepeatable bool
	// Timeout is the request's deadline at the node; zero leaves it to the application's resource.
	Timeout time.Duration
}

// Completion is a whole answer.
type Completion struct {
	RequestID    string
	Text         string
	FinishReason string
	Segments     []v1.Segment
}

// completionBody is the request as sent.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      int64  `json:"seed,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionAnswer is an answer, a chunk of one or an error event.
type completionAnswer struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Covelink *struct {
		RequestID string       `json:"request_id"`
		Segments  []v1.Segment `json:"segments"`
	} `json:"covelink"`
	Error *v1.ErrorDetail `json:"error"`
}

// addTo adds what the answer holds to the completion and returns its text.
func (a *completionAnswer) addTo(completion *Completion) string {
	text := ""
	for _, choice := range a.Choices {
		text += choice.Text
		if choice.FinishReason != "" {
			completion.FinishReason = choice.FinishReason
		}
	}
	if a.Covelink != nil {
		completion.RequestID = a.Covelink.RequestID
		completion.Segments = a.Covelink.Segments
	}
	return text
}

// Complete returns the whole answer. It is sent again only after it was stated that nothing was executed.
func (c *Client) Complete(ctx context.Context, request CompletionRequest) (Completion, error) {
	var answer completionAnswer
	sent, err := completionCall(request, false)
	if err == nil {
		err = c.exchange(ctx, sent, &answer)
	}
	if err != nil {
		return Completion{}, err
	}
	completion := Completion{}
	completion.Text = answer.addTo(&completion)
	return completion, nil
}

// StreamComplete calls receive with each piece of the answer as it comes and returns the whole. An error from receive ends the
// stream and is returned. A stream that ends without saying so is an error of unknown outcome.
func (c *Client) StreamComplete(ctx context.Context, request CompletionRequest, receive func(text string) error) (Completion, error) {
	sent, err := completionCall(request, true)
	if err != nil {
		return Completion{}, err
	}
	response, err := c.send(ctx, sent)
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	return readStream(ctx, response.Body, receive)
}

func readStream(ctx context.Context, body io.Reader, receive func(text string) error) (Completion, error) {
	completion := Completion{}
	var whole strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == doneData {
			completion.Text = whole.String()
			return completion, nil
		}
		text, err := readChunk(data, &completion)
		if err != nil {
			return Completion{}, err
		}
		whole.WriteString(text)
		if text == "" {
			continue
		}
		if err := receive(text); err != nil {
			return Completion{}, err
		}
	}
	return Completion{}, transportError(ctx, "the stream ended without an end")
}

func readChunk(data string, completion *Completion) (string, error) {
	var chunk completionAnswer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		failure := v1.Errorf(v1.CodeInternal, "a chunk of the stream cannot be decoded")
		failure.Outcome = v1.OutcomeUnknown
		return "", failure
	}
	if chunk.Error != nil {
		return "", errorOf(*chunk.Error)
	}
	return chunk.addTo(completion), nil
}

func completionCall(request CompletionRequest, stream bool) (*call, error) {
	made, err := newCall(http.MethodPost, completionsPath, false, completionBody{
		Model:     request.Pool,
		Prompt:    request.Prompt,
		MaxTokens: request.MaxTokens,
		Seed:      request.Seed,
		Stream:    stream,
	})
	if err != nil {
		return nil, err
	}
	if request.IdempotencyKey != "" {
		made.header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	if request.NotRepeatable {
		made.header.Set("Covelink-Repeatable", "false")
	}
	if request.Timeout > 0 {
		made.header.Set("Covelink-Timeout", request.Timeout.String())
	}
	return made, nil
}
