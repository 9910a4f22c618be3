package rollout

import (
	"cmp"
	"slices"
	"time"
)

// waitingList holds the identities that wait to be started: the oldest batch first, in it the longest expected answer first.
type waitingList struct {
	items []waitingItem
	// unsorted is true after additions.
	unsorted bool
	sorted   time.Time
	opened   int            // batches seen
	orders   map[string]int // by batch, in the order of first addition
	counts   map[string]int // by batch
}

type waitingItem struct {
	identity  Identity
	notBefore time.Time
	expected  int
}

// add queues an identity, to be started at notBefore at the earliest.
func (w *waitingList) add(id Identity, notBefore time.Time) {
	if w.orders == nil {
		w.orders = make(map[string]int)
		w.counts = make(map[string]int)
	}
	if _, known := w.orders[id.Batch]; !known {
		w.opened++
		w.orders[id.Batch] = w.opened
	}
	w.counts[id.Batch]++
	w.items = append(w.items, waitingItem{identity: id, notBefore: notBefore})
	w.unsorted = true
}

// sort orders the list by the expected lengths of now.
func (w *waitingList) sort(now time.Time, expected func(Identity) int) {
	if !w.unsorted && now.Sub(w.sorted) < resortInterval {
		return
	}
	w.unsorted = false
	w.sorted = now
	for index := range w.items {
		w.items[index].expected = expected(w.items[index].identity)
	}
	slices.SortStableFunc(w.items, func(a, b waitingItem) int {
		return cmp.Or(
			cmp.Compare(w.orders[a.identity.Batch], w.orders[b.identity.Batch]),
			cmp.Compare(b.expected, a.expected),
			cmp.Compare(a.identity.Index, b.identity.Index),
		)
	})
}

// take removes and returns the first identity that may start now, passing over the batches that may not.
func (w *waitingList) take(now time.Time, mayStart func(batch string) bool) (Identity, bool) {
	batch, allowed := "", false
	for index, item := range w.items {
		if item.identity.Batch != batch {
			batch = item.identity.Batch
			allowed = mayStart(batch)
		}
		if !allowed || item.notBefore.After(now) {
			continue
		}
		w.remove(index)
		w.counts[item.identity.Batch]--
		return item.identity, true
	}
	return Identity{}, false
}

// order returns the number of a batch in the order of first addition.
func (w *waitingList) order(batch string) int64 { return int64(w.orders[batch]) }

// waits reports whether anything of the batch waits.
func (w *waitingList) waits(batch string) bool { return w.counts[batch] > 0 }

// dropBatch removes everything of a batch.
func (w *waitingList) dropBatch(batch string) {
	w.items = slices.DeleteFunc(w.items, func(item waitingItem) bool { return item.identity.Batch == batch })
	delete(w.counts, batch)
	delete(w.orders, batch)
}

func (w *waitingList) remove(index int) {
	if index == 0 {
		w.items = w.items[1:]
		return
	}
	w.items = slices.Delete(w.items, index, index+1)
}
