package v1

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashToken returns the SHA-256 hash of a bearer token in lower-case hex, as resources and settings state it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TokenMatches reports whether the token has one of the hashes. Its time does not depend on which hash matches.
func TokenMatches(token string, hashes []string) bool {
	got := []byte(HashToken(token))
	matched := 0
	for _, hash := range hashes {
		matched |= subtle.ConstantTimeCompare(got, []byte(hash))
	}
	return matched == 1
}
