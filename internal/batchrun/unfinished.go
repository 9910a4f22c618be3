package batchrun

import "container/list"

// maxUnfinishedBytes bounds the texts of unfinished items that are kept for later jobs.
const maxUnfinishedBytes = 16 << 20

// unfinishedTexts holds what ended jobs have left of items that may come again in later jobs, the newest of them. It is not
// safe for concurrent use.
type unfinishedTexts struct {
	byID map[string]*list.Element
	// order holds an unfinishedText an element, oldest first.
	order *list.List
	bytes int
}

type unfinishedText struct {
	id   string
	text progress
}

func newUnfinishedTexts() *unfinishedTexts {
	return &unfinishedTexts{byID: make(map[string]*list.Element), order: list.New()}
}

// put keeps an item's text. The oldest texts give way.
func (u *unfinishedTexts) put(id string, text progress) {
	u.take(id)
	u.byID[id] = u.order.PushBack(unfinishedText{id: id, text: text})
	u.bytes += text.size()
	for u.bytes > maxUnfinishedBytes {
		u.take(u.order.Front().Value.(unfinishedText).id)
	}
}

// take returns an item's text and keeps it no longer.
func (u *unfinishedTexts) take(id string) (progress, bool) {
	element, ok := u.byID[id]
	if !ok {
		return progress{}, false
	}
	delete(u.byID, id)
	found := u.order.Remove(element).(unfinishedText)
	u.bytes -= found.text.size()
	return found.text, true
}

// progressOverhead stands for the memory of an item's text beyond its bytes.
const progressOverhead = 256

// size is the memory that a text takes, in bytes.
func (p *progress) size() int {
	size := progressOverhead
	for _, event := range p.events {
		size += len(event)
	}
	return size
}
