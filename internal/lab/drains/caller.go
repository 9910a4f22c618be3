package drains

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// answerTokens is the length of an answer: streams are short.
	answerTokens   = 8
	requestTimeout = 30 * time.Second
	endOfStream    = "data: [DONE]"
)

// fate is how one try of a request ended.
type fate int

const (
	// completed: the stream was whole.
	completed fate = iota
	// refused: the request was not run, as the node said, or as no connection came about.
	refused
	// cutOff: anything else.
	cutOff
)

// newHTTPClient returns a client that opens a connection for every request, so that a refused connection tells that nothing
// was sent.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
}

func knownEngines(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/debug/status", nil)
	if err != nil {
		return 0, err
	}
	response, err := newHTTPClient().Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var status struct {
		Engines int `json:"engines"`
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return status.Engines, err
}

// ask sends one request to a node and reads the whole answer. The text tells what went wrong.
func ask(client *http.Client, url string, number int) (fate, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"drains %d","max_tokens":%d,"stream":true}`, poolName, number, answerTokens)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return cutOff, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+applicationToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return refused, err.Error()
		}
		return cutOff, err.Error()
	}
	defer response.Body.Close()
	return readAnswer(response)
}

func readAnswer(response *http.Response) (fate, string) {
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		if line := strings.TrimSpace(lines.Text()); line != "" {
			last = line
		}
	}
	switch {
	case lines.Err() != nil:
		return cutOff, lines.Err().Error()
	case response.StatusCode == http.StatusOK && last == endOfStream:
		return completed, ""
	case strings.Contains(last, `"outcome":"not_run"`):
		return refused, last
	}
	return cutOff, fmt.Sprintf("status %d: %s", response.StatusCode, last)
}
