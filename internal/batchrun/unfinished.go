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
	byName map[string]*list.Element
	// order holds an unfinishedText an element, oldest first.
	order *list.List
	bytes int
}

type unfinishedText struct {
	// name is the item's textName.
	name string
	// model is the one whose weights made it.
	model string
	text  itemwork.Text
}

func newUnfinishedTexts() *unfinishedTexts {
	return &unfinishedTexts{byName: make(map[string]*list.Element), order: list.New()}
}

// put keeps an item's text. The oldest texts give way.
func (u *unfinishedTexts) put(left unfinishedText) {
	u.take(left.name)
	u.byName[left.name] = u.order.PushBack(left)
	u.bytes += left.text.Size() + textOverhead
	for u.bytes > maxUnfinishedBytes {
		u.take(u.order.Front().Value.(unfinishedText).name)
	}
}

// each calls a function for every text, oldest first.
func (u *unfinishedTexts) each(visit func(kept *unfinishedText)) {
	for element := u.order.Front(); element != nil; element = element.Next() {
		kept := element.Value.(unfinishedText)
		visit(&kept)
	}
}

// dropOutdated drops the texts that weights of a model made which are older than a version: later jobs demand no older ones than
// the newest job does.
func (u *unfinishedTexts) dropOutdated(model string, version int64) {
	var outdated []string
	u.each(func(kept *unfinishedText) {
		if kept.model == model && !kept.text.Fits(itemwork.Bounds{MinVersion: version}) {
			outdated = append(outdated, kept.name)
		}
	})
	for _, name := range outdated {
		u.take(name)
	}
}

// take returns an item's text and keeps it no longer.
func (u *unfinishedTexts) take(name string) (itemwork.Text, bool) {
	element, ok := u.byName[name]
	if !ok {
		return itemwork.Text{}, false
	}
	delete(u.byName, name)
	found := u.order.Remove(element).(unfinishedText)
	u.bytes -= (found.text.Size() + textOverhead)
	return found.text, true
}

// textOverhead stands for the memory of an item's text beyond its bytes.
const textOverhead = 256
