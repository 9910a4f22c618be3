package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintLength is the length of a Fingerprint in bytes: a caller cannot find two requests with one fingerprint in less than 2^64 tries.
const fingerprintLength = 16

// shortLength is how many bytes of a Fingerprint its form in logs has.
const shortLength = 6

// Fingerprint identifies a request by what its caller repeats when it sends the request again: never by the caller's name for an attempt.
// The caller is a part of it, so that none can have another's requests refused.
type Fingerprint [fingerprintLength]byte

// FingerprintOf returns the fingerprint of a request. target is the path with the query; tenant is empty for a caller that is not known.
func FingerprintOf(tenant, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [...]string{tenant, method, host, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:fingerprintLength])
}

// ParseFingerprint reads a fingerprint from its form in hex.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != fingerprintLength {
		return Fingerprint{}, fmt.Errorf("quarantine: %q is no fingerprint", text)
	}
	return Fingerprint(content), nil
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Short returns the beginning of the fingerprint in hex, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortLength]) }
