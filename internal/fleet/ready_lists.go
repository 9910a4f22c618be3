package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// readyLists updates the lists of ready engines by service, each sorted by ID. Unchanged lists are shared with the previous view.
type readyLists struct {
	lists          map[string][]*Engine
	added, removed map[string][]*Engine
}

func newReadyLists(lists map[string][]*Engine) *readyLists {
	return &readyLists{lists: lists, added: make(map[string][]*Engine), removed: make(map[string][]*Engine)}
}

func (l *readyLists) add(engine *Engine) {
	l.added[engine.Service] = append(l.added[engine.Service], engine)
}

func (l *readyLists) remove(engine *Engine) {
	l.removed[engine.Service] = append(l.removed[engine.Service], engine)
}

// merged returns the updated lists.
func (l *readyLists) merged() map[string][]*Engine {
	if len(l.added) == 0 && len(l.removed) == 0 && l.lists != nil {
		return l.lists
	}
	merged := maps.Clone(l.lists)
	if merged == nil {
		merged = make(map[string][]*Engine)
	}
	for service, removed := range l.removed {
		sortByID(removed)
		merged[service] = without(merged[service], removed)
	}
	for service, added := range l.added {
		sortByID(added)
		merged[service] = with(merged[service], added)
	}
	return merged
}

func sortByID(engines []*Engine) {
	slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// SearchByID returns the index of an ID in engines sorted by ID, or the index at which it would be inserted, and whether it is present.
func SearchByID(list []*Engine, id string) (index int, found bool) {
	return slices.BinarySearchFunc(list, id, func(engine *Engine, id string) int { return cmp.Compare(engine.ID, id) })
}

// without returns a copy of a sorted list without the engines of another sorted list.
func without(list, removed []*Engine) []*Engine {
	kept := make([]*Engine, 0, len(list)-len(removed))
	from := 0
	for _, engine := range removed {
		offset, _ := SearchByID(list[from:], engine.ID)
		kept = append(kept, list[from:from+offset]...)
		from += offset + 1
	}
	return append(kept, list[from:]...)
}

// with returns a copy of a sorted list with the engines of another sorted list merged in.
func with(list, added []*Engine) []*Engine {
	merged := make([]*Engine, 0, len(list)+len(added))
	from := 0
	for _, engine := range added {
		offset, _ := SearchByID(list[from:], engine.ID)
		merged = append(merged, list[from:from+offset]...)
		merged = append(merged, engine)
		from += offset
	}
	return append(merged, list[from:]...)
}
