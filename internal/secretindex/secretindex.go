// Package secretindex finds what a secret, such as an API key or a bearer token, stands for, by the SHA-256 hash of the secret.
//
// Guarantees: a look-up takes the same work however many secrets there are; its time reveals at most something of the hash of a guess,
// never of a secret, and what it finds is compared in constant time. The index holds no secret.
package secretindex

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// shortHashDigits is how many hexadecimal digits of a hash tell secrets apart for operators: of a thousand secrets two share them with
// a probability of one in ten thousand.
const shortHashDigits = 8

// Hash is the SHA-256 hash of a secret.
type Hash [sha256.Size]byte

// HashOf returns the hash of a secret.
func HashOf(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// ParseHash reads a hash in hexadecimal digits.
func ParseHash(digits string) (Hash, error) {
	var hash Hash
	decoded, err := hex.DecodeString(strings.ToLower(digits))
	if err != nil || len(decoded) != len(hash) {
		return Hash{}, fmt.Errorf("secretindex: not a SHA-256 hash in hexadecimal digits: %d characters", len(digits))
	}
	copy(hash[:], decoded)
	return hash, nil
}

// Short returns the first digits of the hash, for logs and lists: enough to tell secrets apart, of no use to whoever has none.
func (h Hash) Short() string { return hex.EncodeToString(h[:])[:shortHashDigits] }

// Index maps secrets to values. It is safe for concurrent use once nothing is added any more.
type Index[T any] struct {
	entries map[Hash]*entry[T]
}

// entry repeats the hash, for the comparison in constant time.
type entry[T any] struct {
	hash  Hash
	value T
}

// New returns an empty Index.
func New[T any]() *Index[T] { return &Index[T]{entries: make(map[Hash]*entry[T])} }

// Put makes the secret of a hash stand for a value.
func (x *Index[T]) Put(hash Hash, value T) { x.entries[hash] = &entry[T]{hash: hash, value: value} }

// At returns the value of a hash, for whoever builds the index.
func (x *Index[T]) At(hash Hash) (value T, found bool) {
	known, found := x.entries[hash]
	if !found {
		return value, false
	}
	return known.value, true
}

// Find returns what a secret stands for. The empty secret stands for nothing.
func (x *Index[T]) Find(secret string) (value T, found bool) {
	if secret == "" {
		return value, false
	}
	hash := HashOf(secret)
	known, found := x.entries[hash]
	if !found || subtle.ConstantTimeCompare(known.hash[:], hash[:]) != 1 {
		return value, false
	}
	return known.value, true
}
