package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// readyLists changes the lists of ready engines by service, each in the order of IDs. Lists of services without a change are shared with the last view.
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

// merged returns the changed lists.
func (l *readyLists) merged() map[string][]*Engine {
	if len(l.added) == 0 && len(l.removed) == 0 && l.lists != nil {
		return l.lists
	}
	merged := maps.Clone(l.lists)
	if merged == nil {
		merged = make(map[string][]*Engine)
	}
	for service, gone := range l.removed {
		byID(gone)
		merged[service] = without(merged[service], gone)
	}
	for service, come := range l.added {
		byID(come)
		merged[service] = with(merged[service], come)
	}
	return merged
}

func byID(engines []*Engine) {
	slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// Find returns the place of an ID in a list of engines in the order of IDs, and whether it is there; else the place is where it would be.
func Find(list []*Engine, id string) (place int, listed bool) {
	return slices.BinarySearchFunc(list, id, func(engine *Engine, id string) int { return cmp.Compare(engine.ID, id) })
}

// without returns a copy of a list without some of its engines, in whole runs between them.
func without(list, gone []*Engine) []*Engine {
	left := make([]*Engine, 0, len(list)-len(gone))
	from := 0
	for _, engine := range gone {
		offset, _ := Find(list[from:], engine.ID)
		left = append(left, list[from:from+offset]...)
		from += offset + 1
	}
	return append(left, list[from:]...)
}

// with returns a copy of a list with more engines.
func with(list, come []*Engine) []*Engine {
	joined := make([]*Engine, 0, len(list)+len(come))
	from := 0
	for _, engine := range come {
		offset, _ := Find(list[from:], engine.ID)
		joined = append(joined, list[from:from+offset]...)
		joined = append(joined, engine)
		from += offset
	}
	return append(joined, list[from:]...)
}
