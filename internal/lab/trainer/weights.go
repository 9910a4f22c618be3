package trainer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

// weightsPath is the path of the weight store's files.
const weightsPath = "/weights"

// promptText returns a prompt of a number of words that differs for each name.
func promptText(name string, words int) string {
	return name + strings.Repeat(" "+name, words-1)
}

// weightBytes returns the weights of a version: the same for the same trainer, seed and version.
func (c Config) weightBytes(version int64) []byte {
	var seed [32]byte
	copy(seed[:], fmt.Sprintf("%d/%d/%s", version, c.Seed, c.Trainer))
	weights := make([]byte, c.WeightBytes)
	_, _ = rand.NewChaCha8(seed).Read(weights)
	return weights
}

// upload stores the weights of a version and returns what the trainer states of them.
func (t *Trainer) upload(ctx context.Context, version int64) (v1.WeightVersion, error) {
	weights := t.config.weightBytes(version)
	sum := sha256.Sum256(weights)
	stated := v1.WeightVersion{
		Version:  version,
		Digest:   hex.EncodeToString(sum[:]),
		Location: fmt.Sprintf("%s/%d", t.config.Trainer, version),
	}
	url := strings.TrimSuffix(t.config.WeightStore, "/") + weightsPath + "/" + stated.Location
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(weights))
	if err != nil {
		return stated, fmt.Errorf("upload version %d: %w", version, err)
	}
	response, err := t.http.Do(request)
	if err != nil {
		return stated, fmt.Errorf("upload version %d: %w", version, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return stated, fmt.Errorf("upload version %d: the weight store answered %d", version, response.StatusCode)
	}
	return stated, nil
}
