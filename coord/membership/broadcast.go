package membership

import "slices"

// maxQueued bounds the news that wait; beyond it the most often sent are dropped, and comparisons of tables make up for them.
const maxQueued = 256

// queue holds news to piggyback, at most one per member, each with the number of its sends.
type queue struct {
	items []queued
}

type queued struct {
	name string
	sent int
}

// add makes the newest record of the member wait, as never sent.
func (q *queue) add(name string) {
	q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.name == name })
	q.items = slices.Insert(q.items, 0, queued{name: name})
	if len(q.items) > maxQueued {
		q.items = q.items[:maxQueued]
	}
}

func (q *queue) empty() bool { return len(q.items) == 0 }

// take returns records of at most budget bytes, the least often sent first, and counts them as sent. A record that was sent
// limit times leaves the queue.
func (q *queue) take(t *table, budget, limit int) []Record {
	var records []Record
	for i := range q.items {
		known := t.get(q.items[i].name)
		if known == nil {
			q.items[i].sent = limit
			continue
		}
		size := recordBytes(known.Record)
		if size > budget {
			break
		}
		budget -= size
		records = append(records, known.Record)
		q.items[i].sent++
	}
	q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b queued) int { return a.sent - b.sent })
	return records
}
