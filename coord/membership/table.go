package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
)

// digestParts is the number of parts of a table that are compared on their own.
const digestParts = 16

// recordOverheadBytes estimates what a record takes on the wire beside its strings.
const recordOverheadBytes = 16

// entry is a record and what is known of it here only.
type entry struct {
	Record
	id uint64 // hash of the name
	// since is when the record took its state.
	since time.Time
	// suspectUntil is when a suspect is declared dead.
	suspectUntil time.Time
	// heard is when the member itself last sent a message.
	heard time.Time
	// extended counts how often a suspicion was prolonged because the member was heard.
	extended int
}

// table holds the known members, the process itself included.
type table struct {
	entries map[string]*entry
	// names are the keys of entries in order, so that choices depend on the random source alone.
	names []string
}

func newTable() *table { return &table{entries: make(map[string]*entry)} }

func (t *table) get(name string) *entry { return t.entries[name] }

func (t *table) put(record Record, now time.Time) *entry {
	known := t.entries[record.Member.Name]
	if known == nil {
		known = &entry{id: rendezvous.Hash(record.Member.Name)}
		t.entries[record.Member.Name] = known
		at, _ := slices.BinarySearch(t.names, record.Member.Name)
		t.names = slices.Insert(t.names, at, record.Member.Name)
	}
	known.Record = record
	known.since = now
	known.extended = 0
	return known
}

func (t *table) remove(name string) {
	delete(t.entries, name)
	if at, found := slices.BinarySearch(t.names, name); found {
		t.names = slices.Delete(t.names, at, at+1)
	}
}

// newer reports whether a record supersedes another of the same member.
func newer(record, known Record) bool {
	if record.Incarnation != known.Incarnation {
		return record.Incarnation > known.Incarnation
	}
	return record.State > known.State
}

// all returns the entries that match, in the order of their names.
func (t *table) all(match func(*entry) bool) []*entry {
	var found []*entry
	for _, name := range t.names {
		if e := t.entries[name]; match(e) {
			found = append(found, e)
		}
	}
	return found
}

// sample returns up to count of the entries that match, at random.
func (t *table) sample(random *rand.Rand, count int, match func(*entry) bool) []*entry {
	found := t.all(match)
	count = min(count, len(found))
	for i := range count {
		j := i + random.IntN(len(found)-i)
		found[i], found[j] = found[j], found[i]
	}
	return found[:count]
}

// ranked returns the entries of a zone that match, in the zone's rendezvous order.
func (t *table) ranked(zone string, match func(*entry) bool) []*entry {
	key := rendezvous.Hash(zone)
	found := t.all(func(e *entry) bool { return e.Member.Zone == zone && match(e) })
	slices.SortFunc(found, func(a, b *entry) int {
		if order := cmp.Compare(rendezvous.Mix(key, b.id), rendezvous.Mix(key, a.id)); order != 0 {
			return order
		}
		return cmp.Compare(a.Member.Name, b.Member.Name)
	})
	return found
}

// bridges returns the members of a zone that represent it.
func (t *table) bridges(zone string, count int) []*entry {
	ranked := t.ranked(zone, func(e *entry) bool { return e.State.Live() })
	return ranked[:min(count, len(ranked))]
}

// zones returns the zones of the known members, in order.
func (t *table) zones() []string {
	seen := make(map[string]struct{})
	for _, e := range t.entries {
		seen[e.Member.Zone] = struct{}{}
	}
	return slices.Sorted(maps.Keys(seen))
}

// digest returns a hash of each part of the table. Dead members have no part in it, since each process forgets them in its
// own time, nor have suspicions, which pass.
func (t *table) digest() []uint64 {
	sums := make([]uint64, digestParts)
	for _, e := range t.entries {
		if e.State != Dead {
			sums[e.id%digestParts] ^= recordHash(e)
		}
	}
	return sums
}

func recordHash(e *entry) uint64 {
	class := uint64(0)
	if e.State == Leaving {
		class = 1
	}
	return rendezvous.Mix(e.Incarnation<<1|class, e.id)
}

// bridgesHash identifies a set of bridges.
func bridgesHash(bridges []*entry) uint64 {
	sum := uint64(len(bridges))
	for _, e := range bridges {
		sum ^= recordHash(e)
	}
	return sum
}

func recordBytes(record Record) int {
	member := record.Member
	return recordOverheadBytes + len(member.Name) + len(member.Zone) + len(member.Address) + len(member.Meta)
}
