package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintLength is the length of a Fingerprint in bytes; finding a collision takes some 2^64 tries.
const fingerprintLength = 16

// shortLength is the number of bytes shown by Short.
const shortLength = 6

// Fingerprint identifies a request by the content that a retry repeats, not by an ID of the attempt. It includes the tenant, so that no
// tenant can get another's requests refused.
type Fingerprint [fingerprintLength]byte

// FingerprintOf returns the fingerprint of a request. target is the path with the query; tenant is empty for an unidentified caller.
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

// ParseFingerprint parses the hex form.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != fingerprintLength {
		return Fingerprint{}, fmt.Errorf("quarantine: invalid fingerprint %q", text)
	}
	return Fingerprint(content), nil
}

// String returns the hex form.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Short returns the first bytes in hex, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortLength]) }
