package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const maxScoreBytes = 64 << 10

// Scorer judges answers.
type Scorer interface {
	// Score returns the score of the text from the service at baseURL. The same request ID may be asked again
	// after an error; the service then gives the score it gave first.
	Score(ctx context.Context, baseURL, requestID, text string) (float64, error)
}

// HTTPScorer asks a scoring service: POST {baseURL}/score.
type HTTPScorer struct{ Client *http.Client }

type scoreRequest struct {
	RequestID string `json:"request_id"`
	Text      string `json:"text"`
}

type scoreResponse struct {
	Score *float64 `json:"score"`
}

// Score implements Scorer. Its errors hold nothing of the bodies.
func (s HTTPScorer) Score(ctx context.Context, baseURL, requestID, text string) (float64, error) {
	body, err := json.Marshal(scoreRequest{RequestID: requestID, Text: text})
	if err != nil {
		return 0, fmt.Errorf("rollout: encode score request: %w", err)
	}
	url := strings.TrimSuffix(baseURL, "/") + "/score"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("rollout: score request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.Client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("rollout: ask scorer: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rollout: scorer answered status %d", response.StatusCode)
	}
	var answer scoreResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxScoreBytes)).Decode(&answer); err != nil || answer.Score == nil {
		return 0, fmt.Errorf("rollout: scorer gave no score")
	}
	return *answer.Score, nil
}
