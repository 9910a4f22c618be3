package batchrun

import (
	"container/list"

	"github.com/covelink/covelink/internal/itemwork"
)

// maxUnfinishedBytes bounds the memory of unfinished texts kept for later jobs.
const maxUnfinishedBytes = 16 << 20

// unfinishedTexts holds the most recent texts that ended jobs left for later jobs. It is not safe for concurrent use.
type unfinishedTexts struct {
	byKey map[string]*list.Element
	// order holds elements of type unfinishedText, oldest first.
	order *list.List
	bytes int
}

type unfinishedText struct {
	// key is the item's textKey.
	key string
	// model is the model that produced the text.
	model string
	text  itemwork.Text
}

func newUnfinishedTexts() *unfinishedTexts {
	return &unfinishedTexts{byKey: make(map[string]*list.Element), order: list.New()}
}

// put stores an item's text, and evicts the oldest texts beyond maxUnfinishedBytes.
func (u *unfinishedTexts) put(left unfinishedText) {
	u.take(left.key)
	u.byKey[left.key] = u.order.PushBack(left)
	u.bytes += left.text.Size() + textOverhead
	for u.bytes > maxUnfinishedBytes {
		u.take(u.order.Front().Value.(unfinishedText).key)
	}
}

// each calls a function for every text, oldest first.
func (u *unfinishedTexts) each(visit func(kept *unfinishedText)) {
	for element := u.order.Front(); element != nil; element = element.Next() {
		kept := element.Value.(unfinishedText)
		visit(&kept)
	}
}

// dropOutdated drops the texts of a model that contain weights older than a version. Later jobs require no older version than the newest job does.
func (u *unfinishedTexts) dropOutdated(model string, version int64) {
	var outdated []string
	u.each(func(kept *unfinishedText) {
		if kept.model == model && !kept.text.Fits(itemwork.Bounds{MinVersion: version}) {
			outdated = append(outdated, kept.key)
		}
	})
	for _, key := range outdated {
		u.take(key)
	}
}

// take removes and returns an item's text.
func (u *unfinishedTexts) take(key string) (itemwork.Text, bool) {
	element, ok := u.byKey[key]
	if !ok {
		return itemwork.Text{}, false
	}
	delete(u.byKey, key)
	found := u.order.Remove(element).(unfinishedText)
	u.bytes -= (found.text.Size() + textOverhead)
	return found.text, true
}

// textOverhead is the assumed memory of an item's text beyond its bytes.
const textOverhead = 256
