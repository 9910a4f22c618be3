package enginev1

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Checksum returns the checksum of an answer as FinalEvent states it: the 64-bit xxHash of every
// token, each followed by a zero byte, as 16 digits of lower-case hex.
func Checksum(tokens []string) string {
	digest := xxhash.New()
	for _, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}
