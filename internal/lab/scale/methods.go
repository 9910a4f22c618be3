package scale

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	bytesMetric    = "covelink_rpc_bytes_total{"
	methodLabel    = `method="`
	answers        = "answers"
	sampledPerRole = 4
)

// methodBytes are the bytes of frames by method, sent and received together; answers are under one name.
type methodBytes map[string]float64

// readMethods returns the counters of a node, as an operator reads them.
func (w *world) readMethods(ctx context.Context, url string) (methodBytes, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err := w.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return parseMethods(response.Body)
}

func parseMethods(text io.Reader) (methodBytes, error) {
	read := make(methodBytes)
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		labels, ok := strings.CutPrefix(lines.Text(), bytesMetric)
		if !ok {
			continue
		}
		labels, value, ok := strings.Cut(labels, "} ")
		if !ok {
			continue
		}
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, err
		}
		_, method, _ := strings.Cut(labels, methodLabel)
		method, _, _ = strings.Cut(method, `"`)
		if method == "" {
			method = answers
		}
		read[method] += count
	}
	return read, lines.Err()
}

// sample names a few nodes of every role, by their URLs.
func (w *world) sample() map[Role][]string {
	assigned := w.roles.assign(w)
	sampled := make(map[Role][]string)
	for i, config := range w.plan.Nodes {
		role := assigned[config.Node.Name]
		if len(sampled[role]) < sampledPerRole {
			sampled[role] = append(sampled[role], w.plan.NodeURLs()[i])
		}
	}
	return sampled
}

// methodsOf returns the mean bytes by method of the sampled nodes of each role.
func (w *world) methodsOf(ctx context.Context, sampled map[Role][]string) (map[Role]methodBytes, error) {
	means := make(map[Role]methodBytes)
	for role, urls := range sampled {
		mean := make(methodBytes)
		for _, url := range urls {
			read, err := w.readMethods(ctx, url)
			if err != nil {
				return nil, err
			}
			for method, count := range read {
				mean[method] += count / float64(len(urls))
			}
		}
		means[role] = mean
	}
	return means, nil
}

// rates returns the bytes a second by method between two readings.
func (m methodBytes) rates(before methodBytes, seconds float64) methodBytes {
	result := make(methodBytes)
	for method, count := range m {
		if rate := (count - before[method]) / seconds; rate > 0 {
			result[method] = rate
		}
	}
	return result
}
