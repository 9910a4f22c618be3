// Package voterset holds numbered sets of voters and the rules by which one set follows another.
//
// Sets change by one member at a time, so that any majority of a set and any majority of the next one share a member.
package voterset

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrNotNext reports a set whose number is not one above the current one.
	ErrNotNext = errors.New("voterset: not the next number")
	// ErrNotOneMember reports a change of more or fewer members than one.
	ErrNotOneMember = errors.New("voterset: not a change of one member")
	// ErrEmpty reports a set without members.
	ErrEmpty = errors.New("voterset: no members")
)

// Set is a numbered set of voters. It must not be changed.
type Set struct {
	// Number orders the sets of a group; a higher one replaces a lower one.
	Number uint64
	// Members are the names of the voters, sorted, each once.
	Members []string
}

// New returns the set of the members under the number.
func New(number uint64, members ...string) Set {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	return Set{Number: number, Members: slices.Compact(sorted)}
}

// Majority returns how many members are more than half.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Contains reports whether the name is a member.
func (s Set) Contains(name string) bool {
	_, found := slices.BinarySearch(s.Members, name)
	return found
}

// Equal reports whether number and members are the same.
func (s Set) Equal(other Set) bool {
	return s.Number == other.Number && slices.Equal(s.Members, other.Members)
}

// With returns the next set, which has one member more.
func (s Set) With(name string) Set {
	return New(s.Number+1, append(slices.Clone(s.Members), name)...)
}

// Without returns the next set, which has one member fewer.
func (s Set) Without(name string) Set {
	rest := slices.DeleteFunc(slices.Clone(s.Members), func(member string) bool { return member == name })
	return New(s.Number+1, rest...)
}

// CheckNext reports why next must not follow s, or nil.
func (s Set) CheckNext(next Set) error {
	if next.Number != s.Number+1 {
		return fmt.Errorf("%w: %d after %d", ErrNotNext, next.Number, s.Number)
	}
	if len(next.Members) == 0 {
		return ErrEmpty
	}
	if changed := s.missing(next) + next.missing(s); changed != 1 {
		return fmt.Errorf("%w: %d changed", ErrNotOneMember, changed)
	}
	return nil
}

// missing counts the members of s that other does not have.
func (s Set) missing(other Set) int {
	count := 0
	for _, name := range s.Members {
		if !other.Contains(name) {
			count++
		}
	}
	return count
}
