package gateway

import (
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

// The values of "object" and the id prefixes of the two routes.
const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	idCompletion     = "cmpl-"
	idChat           = "chatcmpl-"
	roleAssistant    = "assistant"
)

// covelinkInfo is the field of an answer that OpenAI's servers do not have.
type covelinkInfo struct {
	Outcome   v1.Outcome   `json:"outcome"`
	RequestID string       `json:"request_id"`
	Segments  []v1.Segment `json:"segments"`
}

// openAIResponse is an answer, or one chunk of it.
type openAIResponse struct {
	ID       string         `json:"id"`
	Object   string         `json:"object"`
	Created  int64          `json:"created"`
	Model    string         `json:"model"`
	Choices  []openAIChoice `json:"choices"`
	Usage    *openAIUsage   `json:"usage,omitempty"`
	Covelink *covelinkInfo  `json:"covelink,omitempty"`
}

type openAIChoice struct {
	Index int `json:"index"`
	// Text is set on the completion route, Message and Delta on the chat route.
	Text         *string        `json:"text,omitempty"`
	Message      *openAIMessage `json:"message,omitempty"`
	Delta        *openAIMessage `json:"delta,omitempty"`
	LogProbs     *struct{}      `json:"logprobs"`
	FinishReason *string        `json:"finish_reason"`
}

type openAIMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// openAIUsage counts tokens. Engines do not report the tokens of the prompt, so it counts those of the answer alone.
type openAIUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerShape makes the JSON shapes of one request's answer.
type answerShape struct {
	requestID string
	pool      string
	created   int64
	chat      bool
}

func (s answerShape) response(object string, choices ...openAIChoice) openAIResponse {
	prefix := idCompletion
	if s.chat {
		prefix = idChat
	}
	return openAIResponse{
		ID:      prefix + s.requestID,
		Object:  object,
		Created: s.created,
		Model:   s.pool,
		Choices: choices,
	}
}

// whole returns the answer to a request that does not stream.
func (s answerShape) whole(answer *StoredAnswer) openAIResponse {
	text := strings.Join(answer.Tokens, "")
	choice := openAIChoice{FinishReason: &answer.FinishReason}
	object := objectCompletion
	if s.chat {
		object = objectChat
		choice.Message = &openAIMessage{Role: roleAssistant, Content: &text}
	} else {
		choice.Text = &text
	}
	response := s.response(object, choice)
	response.Usage = usageOf(answer)
	response.Covelink = infoOf(answer)
	return response
}

// delta returns a chunk with a run of tokens; first marks the first chunk of the stream.
func (s answerShape) delta(text string, first bool) openAIResponse {
	choice := openAIChoice{}
	if !s.chat {
		choice.Text = &text
		return s.response(objectCompletion, choice)
	}
	choice.Delta = &openAIMessage{Content: &text}
	if first {
		choice.Delta.Role = roleAssistant
	}
	return s.response(objectChatChunk, choice)
}

// last returns the chunk that ends the answer.
func (s answerShape) last(answer *StoredAnswer) openAIResponse {
	choice := openAIChoice{FinishReason: &answer.FinishReason}
	object := objectCompletion
	if s.chat {
		object = objectChatChunk
		choice.Delta = &openAIMessage{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	response := s.response(object, choice)
	response.Covelink = infoOf(answer)
	return response
}

// usage returns the chunk that follows the last one when the caller asked for usage.
func (s answerShape) usage(answer *StoredAnswer) openAIResponse {
	object := objectCompletion
	if s.chat {
		object = objectChatChunk
	}
	response := s.response(object)
	response.Choices = []openAIChoice{}
	response.Usage = usageOf(answer)
	response.Covelink = infoOf(answer)
	return response
}

func usageOf(answer *StoredAnswer) *openAIUsage {
	return &openAIUsage{CompletionTokens: len(answer.Tokens), TotalTokens: len(answer.Tokens)}
}

func infoOf(answer *StoredAnswer) *covelinkInfo {
	segments := answer.Segments
	if segments == nil {
		segments = []v1.Segment{}
	}
	return &covelinkInfo{Outcome: v1.OutcomeCompleted, RequestID: answer.RequestID, Segments: segments}
}

// answered returns the shape of an answer that may be of an earlier request with the same key.
func (s answerShape) answered(answer *StoredAnswer) answerShape {
	s.requestID = answer.RequestID
	s.created = answer.CreatedUnix
	return s
}
