package batchrun

import (
	"container/list"

	"github.com/covelink/covelink/internal/itemwork"
)

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
	text itemwork.Text
}

func newUnfinishedTexts() *unfinishedTexts {
	return &unfinishedTexts{byID: make(map[string]*list.Element), order: list.New()}
}

// put keeps an item's text. The oldest texts give way.
func (u *unfinishedTexts) put(id string, text itemwork.Text) {
	u.take(id)
	u.byID[id] = u.order.PushBack(unfinishedText{id: id, text: text})
	u.bytes += text.Size() + textOverhead
	for u.bytes > maxUnfinishedBytes {
		u.take(u.order.Front().Value.(unfinishedText).id)
	}
}

// each calls a function for every text, oldest first.
func (u *unfinishedTexts) each(visit func(id string, text *itemwork.Text)) {
	for element := u.order.Front(); element != nil; element = element.Next() {
		kept := element.Value.(unfinishedText)
		visit(kept.id, &kept.text)
	}
}

// take returns an item's text and keeps it no longer.
func (u *unfinishedTexts) take(id string) (itemwork.Text, bool) {
	element, ok := u.byID[id]
	if !ok {
		return itemwork.Text{}, false
	}
	delete(u.byID, id)
	found := u.order.Remove(element).(unfinishedText)
	u.bytes -= (found.text.Size() + textOverhead)
	return found.text, true
}

// textOverhead stands for the memory of an item's text beyond its bytes.
const textOverhead = 256
