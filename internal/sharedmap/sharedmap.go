// Package sharedmap has an immutable map of strings whose changed copies share what did not change: a change of k entries copies k small parts of it, and
// finding out how two copies differ looks at those parts only.
package sharedmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is into how many parts the entries are divided: at 10,000 entries a part has some 40, and the list of parts, which each change copies, is
// 2 KB.
const shardCount = 256

// Map is an immutable map. The zero value is empty. It is safe for concurrent use.
type Map[V any] struct {
	shards *[shardCount]*shard[V]
	size   int
}

// shard holds the entries whose keys have one hash. It is not changed once it is part of a Map.
type shard[V any] struct{ entries map[string]V }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Of returns a Map of the entries of a map.
func Of[V any](entries map[string]V) Map[V] {
	edit := Map[V]{}.Edit()
	for key, value := range entries {
		edit.Set(key, value)
	}
	return edit.Map()
}

// Len returns the number of entries.
func (m Map[V]) Len() int { return m.size }

// Get returns the value of a key, and whether there is one.
func (m Map[V]) Get(key string) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	part := m.shards[shardOf(key)]
	if part == nil {
		return value, false
	}
	value, ok = part.entries[key]
	return value, ok
}

// All returns the entries in no order.
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

// Same reports whether two maps are one: no entry was set or deleted between them.
func Same[V any](a, b Map[V]) bool { return a.shards == b.shards }

// Diff calls functions for the entries of after that may differ from before, and for the keys that after lacks. Entries of a part that was changed are
// told although they are the same, so that the caller compares values.
func Diff[V any](before, after Map[V], changed func(key string, value V), removed func(key string)) {
	for number := range shardCount {
		was, is := before.shard(number), after.shard(number)
		if was == is {
			continue
		}
		for key, value := range is.all() {
			changed(key, value)
		}
		for key := range was.all() {
			if _, kept := is.all()[key]; !kept {
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

// Editor changes a copy of a Map. It is not safe for concurrent use, and is of no more use after Map.
type Editor[V any] struct {
	from   Map[V]
	shards [shardCount]*shard[V]
	size   int
	// owned are the parts that belong to this copy alone.
	owned map[int]struct{}
}

// own returns the part of a key, copied if other maps share it.
func (e *Editor[V]) own(key string) *shard[V] {
	number := shardOf(key)
	if _, own := e.owned[number]; own {
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
	part := e.own(key)
	if _, known := part.entries[key]; !known {
		e.size++
	}
	part.entries[key] = value
}

// Delete removes a key, if it is there.
func (e *Editor[V]) Delete(key string) {
	if _, known := e.shards[shardOf(key)].all()[key]; !known {
		return
	}
	delete(e.own(key).entries, key)
	e.size--
}

// Map returns the changed copy, or the map itself if nothing was set or deleted.
func (e *Editor[V]) Map() Map[V] {
	if len(e.owned) == 0 {
		return e.from
	}
	return Map[V]{shards: &e.shards, size: e.size}
}
