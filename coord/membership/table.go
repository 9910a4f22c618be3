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

// triesPerSample is the number of random tries for each entry of a sample.
const triesPerSample = 4

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

// presumed reports whether the member is only believed to exist: it is a contact that has not been met. Nobody else is told.
func (e *entry) presumed() bool { return e.Incarnation == 0 }

// table holds the known members, the process itself included.
type table struct {
	entries map[string]*entry
	// list holds the entries in the order of their names, so that choices depend on the random source alone.
	list []*entry
}

func newTable() *table { return &table{entries: make(map[string]*entry)} }

func (t *table) get(name string) *entry { return t.entries[name] }

func (t *table) put(record Record, now time.Time) *entry {
	known := t.entries[record.Member.Name]
	if known == nil {
		known = &entry{id: rendezvous.Hash(record.Member.Name)}
		t.entries[record.Member.Name] = known
		at, _ := t.find(record.Member.Name)
		t.list = slices.Insert(t.list, at, known)
	}
	known.Record = record
	known.since = now
	known.extended = 0
	return known
}

func (t *table) remove(name string) {
	delete(t.entries, name)
	if at, found := t.find(name); found {
		t.list = slices.Delete(t.list, at, at+1)
	}
}

func (t *table) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(t.list, name, func(e *entry, name string) int { return cmp.Compare(e.Member.Name, name) })
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
	for _, e := range t.list {
		if match(e) {
			found = append(found, e)
		}
	}
	return found
}

func (t *table) count(match func(*entry) bool) int {
	count := 0
	for _, e := range t.list {
		if match(e) {
			count++
		}
	}
	return count
}

// sample returns up to count of the entries that match, at random. Most entries are expected to match, so it tries some
// at random before it looks at all.
func (t *table) sample(random *rand.Rand, count int, match func(*entry) bool) []*entry {
	found := make([]*entry, 0, count)
	for tries := triesPerSample * count; tries > 0 && len(found) < count; tries-- {
		e := t.list[random.IntN(len(t.list))]
		if match(e) && !slices.Contains(found, e) {
			found = append(found, e)
		}
	}
	if len(found) == count {
		return found
	}
	found = t.all(match)
	random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(count, len(found))]
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
	for _, e := range t.list {
		seen[e.Member.Zone] = struct{}{}
	}
	return slices.Sorted(maps.Keys(seen))
}

// digest returns a hash of each part of the table. Dead members have no part in it, since each process forgets them in its
// own time, nor have suspicions, which pass.
func (t *table) digest() []uint64 {
	sums := make([]uint64, digestParts)
	for _, e := range t.list {
		if e.State != Dead && !e.presumed() {
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
