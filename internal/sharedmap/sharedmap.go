// Package sharedmap implements an immutable map with string keys. Modified copies share unchanged shards, so that an edit and a diff cost in
// proportion to the number of changed entries.
package sharedmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount trades the size of a shard, copied per changed entry, against that of the shard array, copied per edit.
const shardCount = 256

// Map is an immutable map. The zero value is empty. It is safe for concurrent use.
type Map[V any] struct {
	shards *[shardCount]*shard[V]
	size   int
}

// shard holds the entries of one hash bucket. It is not modified once it is part of a Map.
type shard[V any] struct{ entries map[string]V }

func shardIndex(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Of returns a Map with the entries of a Go map.
func Of[V any](entries map[string]V) Map[V] {
	edit := Map[V]{}.Edit()
	for key, value := range entries {
		edit.Set(key, value)
	}
	return edit.Map()
}

// Len returns the number of entries.
func (m Map[V]) Len() int { return m.size }

// Get returns the value of a key, and whether the key is present.
func (m Map[V]) Get(key string) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	part := m.shards[shardIndex(key)]
	if part == nil {
		return value, false
	}
	value, ok = part.entries[key]
	return value, ok
}

// All iterates over the entries in unspecified order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.shards == nil {
			return
		}
		for _, part := range m.shards {
			if part == nil {
				continue
			}
			for key, value := range part.entries {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// Identical reports whether two maps share all shards, with no entry set or deleted between them. It may be false for equal maps.
func Identical[V any](a, b Map[V]) bool { return a.shards == b.shards }

// Diff calls changed for the entries of after that may differ from before, and removed for the keys missing from after. Unchanged entries of a
// modified shard are reported too, so that the caller must compare values.
func Diff[V any](before, after Map[V], changed func(key string, value V), removed func(key string)) {
	for number := range shardCount {
		old, current := before.shard(number), after.shard(number)
		if old == current {
			continue
		}
		for key, value := range current.all() {
			changed(key, value)
		}
		for key := range old.all() {
			if _, kept := current.all()[key]; !kept {
				removed(key)
			}
		}
	}
}

func (m Map[V]) shard(number int) *shard[V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[number]
}

func (s *shard[V]) all() map[string]V {
	if s == nil {
		return nil
	}
	return s.entries
}

// Edit returns an Editor of a copy of the map.
func (m Map[V]) Edit() *Editor[V] {
	edit := &Editor[V]{from: m, size: m.size, owned: make(map[int]struct{})}
	if m.shards != nil {
		edit.shards = *m.shards
	}
	return edit
}

// Editor modifies a copy of a Map. It is not safe for concurrent use, and must not be used after Map.
type Editor[V any] struct {
	from   Map[V]
	shards [shardCount]*shard[V]
	size   int
	// owned are the shards already copied by this Editor.
	owned map[int]struct{}
}

// ownedShard returns the shard of a key, copying it first if it is shared.
func (e *Editor[V]) ownedShard(key string) *shard[V] {
	number := shardIndex(key)
	if _, owned := e.owned[number]; owned {
		return e.shards[number]
	}
	e.owned[number] = struct{}{}
	part := &shard[V]{entries: maps.Clone(e.shards[number].all())}
	if part.entries == nil {
		part.entries = make(map[string]V)
	}
	e.shards[number] = part
	return part
}

// Set sets the value of a key.
func (e *Editor[V]) Set(key string, value V) {
	part := e.ownedShard(key)
	if _, known := part.entries[key]; !known {
		e.size++
	}
	part.entries[key] = value
}

// Delete deletes a key, if present.
func (e *Editor[V]) Delete(key string) {
	if _, known := e.shards[shardIndex(key)].all()[key]; !known {
		return
	}
	delete(e.ownedShard(key).entries, key)
	e.size--
}

// Map returns the modified copy, or the original map if nothing was set or deleted.
func (e *Editor[V]) Map() Map[V] {
	if len(e.owned) == 0 {
		return e.from
	}
	return Map[V]{shards: &e.shards, size: e.size}
}
