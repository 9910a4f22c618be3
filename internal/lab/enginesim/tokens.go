package enginesim

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 16

// The salts keep the hashes of different uses apart.
const (
	saltToken uint64 = iota + 1
	saltLengthPrompt
	saltLengthSeed
	saltBlock
)

// PromptHash returns the hash by which executions and answers refer to a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the token at an index of an answer: a pure function of its arguments, so that a checker can
// tell from the text alone whether the version named for a token produced it. It ends with a space.
func Token(promptHash uint64, seed, version int64, index int) string {
	hash := mix(saltToken, promptHash, uint64(seed), uint64(version), uint64(index))
	return strconv.FormatUint(hash>>32, 36) + " "
}

// AnswerLength returns the natural length in tokens of the answer to a prompt and seed, at least 1. A request's
// MaxTokens and the engine's bound may cut it.
func AnswerLength(lengths Lengths, promptHash uint64, seed int64) int {
	byPrompt := normal(mix(saltLengthPrompt, promptHash))
	bySeed := normal(mix(saltLengthSeed, promptHash, uint64(seed)))
	deviation := math.Sqrt(lengths.PromptShare)*byPrompt + math.Sqrt(1-lengths.PromptShare)*bySeed
	length := lengths.Median * math.Exp(lengths.Sigma*deviation)
	return int(max(1, min(length, math.MaxInt32)))
}

// PromptTokens returns the number of tokens of a prompt: its words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// PrefixHashes returns the hash of each whole block of a prompt; each covers all blocks before it.
func PrefixHashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	hashes := make([]uint64, 0, len(words)/BlockTokens)
	previous := saltBlock
	for len(words) >= BlockTokens {
		block := strings.Join(words[:BlockTokens], " ")
		previous = mix(saltBlock, previous, xxhash.Sum64String(block))
		hashes = append(hashes, previous)
		words = words[BlockTokens:]
	}
	return hashes
}

// mix hashes a few numbers into one.
func mix(values ...uint64) uint64 {
	var buffer [48]byte
	used := buffer[:0]
	for _, value := range values {
		used = binary.LittleEndian.AppendUint64(used, value)
	}
	return xxhash.Sum64(used)
}

// normal turns a hash into a draw of the standard normal distribution (Box-Muller).
func normal(hash uint64) float64 {
	radius := math.Sqrt(-2 * math.Log(unit(hash)))
	angle := 2 * math.Pi * unit(mix(hash))
	return radius * math.Cos(angle)
}

// unit turns a hash into a number above 0 and at most 1.
func unit(hash uint64) float64 {
	const steps = 1 << 53
	return (float64(hash>>11) + 1) / steps
}
