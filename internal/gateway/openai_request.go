package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	defaultMaxTokens = 4096
	// prefixBytes is how much of a prompt decides which prompts are taken to share a cached prefix.
	prefixBytes = 256
	// maxFieldBytes bounds the name of an unknown field in an error.
	maxFieldBytes = 64
)

// chatRoles are the roles a chat message may have.
var chatRoles = []string{"system", "developer", "user", "assistant", "tool"}

// openAIRequest is the body of both completion routes; fields that covelink does not know are ignored.
type openAIRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Seed                *int64          `json:"seed"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// completionRequest is a checked request.
type completionRequest struct {
	pool         string
	prompt       string
	maxTokens    int
	seed         int64
	stream       bool
	includeUsage bool
	chat         bool
}

// fingerprint tells requests apart that ask for different answers.
func (r *completionRequest) fingerprint() uint64 {
	hash := xxhash.New()
	fmt.Fprintf(hash, "%q %q %d %d %t", r.pool, r.prompt, r.maxTokens, r.seed, r.chat)
	return hash.Sum64()
}

// prefixKey groups prompts of a pool that begin alike; short prompts have none.
func (r *completionRequest) prefixKey() uint64 {
	if len(r.prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(r.pool + "\x00" + r.prompt[:prefixBytes])
}

// invalid returns a refusal that names the field.
func invalid(field, format string, args ...any) *v1.Error {
	err := v1.NotRun(v1.CodeInvalid, 0, format, args...)
	err.Field = field
	return err
}

// decodeJSON reads the body into target. Its errors name the field and quote nothing of the body.
func decodeJSON(body io.Reader, target any, strict bool) error {
	decoder := json.NewDecoder(body)
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(target); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("", "the body holds more than one JSON value")
	}
	return nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, "wrong type: want %s", wrongType.Type)
	}
	if field, ok := unknownField(err); ok {
		return invalid(field, "unknown field")
	}
	return invalid("", "the body is not valid JSON")
}

// unknownField returns the field that a strict decoder has refused; the library has no typed error for it.
func unknownField(err error) (string, bool) {
	quoted, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return "", false
	}
	name := strings.Trim(quoted, `"`)
	return name[:min(len(name), maxFieldBytes)], true
}

// decodeCompletion decodes and checks the body of a completion route.
func decodeCompletion(body io.Reader, chat bool) (*completionRequest, error) {
	var raw openAIRequest
	if err := decodeJSON(body, &raw, false); err != nil {
		return nil, err
	}
	if raw.Model == "" {
		return nil, invalid("model", "must name a pool")
	}
	if raw.N != nil && *raw.N != 1 {
		return nil, invalid("n", "must be 1")
	}
	request := &completionRequest{pool: raw.Model, stream: raw.Stream, chat: chat}
	request.includeUsage = raw.StreamOptions != nil && raw.StreamOptions.IncludeUsage
	if raw.Seed != nil {
		request.seed = *raw.Seed
	}
	if err := request.setMaxTokens(&raw); err != nil {
		return nil, err
	}
	return request, request.setPrompt(&raw)
}

func (r *completionRequest) setMaxTokens(raw *openAIRequest) error {
	field, value := "max_tokens", raw.MaxTokens
	if raw.MaxCompletionTokens != nil {
		field, value = "max_completion_tokens", raw.MaxCompletionTokens
	}
	if value == nil {
		return nil
	}
	if *value < 1 {
		return invalid(field, "must be at least 1")
	}
	r.maxTokens = *value
	return nil
}

// boundMaxTokens applies the pool's bound, which is also the default.
func (r *completionRequest) boundMaxTokens(pool *v1.Pool) error {
	bound := positive(pool.Spec.MaxTokens, defaultMaxTokens)
	if r.maxTokens == 0 {
		r.maxTokens = bound
	}
	if r.maxTokens > bound {
		return invalid("max_tokens", "the pool allows at most %d", bound)
	}
	return nil
}

func (r *completionRequest) setPrompt(raw *openAIRequest) (err error) {
	if r.chat {
		r.prompt, err = joinMessages(raw.Messages)
		return err
	}
	r.prompt, err = promptText(raw.Prompt)
	return err
}

// promptText returns the prompt: a string or an array of one string.
func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 && string(raw) != "null" {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) != nil || len(texts) != 1 {
		return "", invalid("prompt", "must be a string or an array of one string")
	}
	return texts[0], nil
}

// joinMessages makes one prompt of a chat: each message under its role, then the open role of the answer.
func joinMessages(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", invalid("messages", "must not be empty")
	}
	var prompt strings.Builder
	for index, message := range messages {
		field := fmt.Sprintf("messages[%d]", index)
		if !slices.Contains(chatRoles, message.Role) {
			return "", invalid(field+".role", "must be one of %s", strings.Join(chatRoles, ", "))
		}
		text, err := contentText(field+".content", message.Content)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&prompt, "<|%s|>\n%s\n", message.Role, text)
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

// contentText returns the text of a message: a string or an array of text parts. Null is empty, as in a message of tool calls.
func contentText(field string, raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", invalid(field, "must be a string or an array of text parts")
	}
	var joined strings.Builder
	for index, part := range parts {
		if part.Type != "text" {
			return "", invalid(fmt.Sprintf("%s[%d].type", field, index), "only text is served")
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}
