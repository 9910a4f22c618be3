package enginesim

import (
	"container/list"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// timedCacheEvent is a cache event and the time it happened.
type timedCacheEvent struct {
	at    time.Time
	event enginev1.CacheEvent
}

// prefixCache holds the hashes of cached prompt blocks, least recently used last.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	recent    *list.List
	sequence  uint64
	log       []timedCacheEvent
	logSize   int
}

func newPrefixCache(maxTokens, logSize int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxTokens / BlockTokens,
		blocks:    map[uint64]*list.Element{},
		recent:    list.New(),
		logSize:   logSize,
	}
}

// use returns how many tokens of the prefix were cached and leaves as much of the prefix cached as fits.
func (c *prefixCache) use(now time.Time, prefixes []uint64) int {
	cached := 0
	for cached < len(prefixes) && c.blocks[prefixes[cached]] != nil {
		cached++
	}
	prefixes = prefixes[:min(len(prefixes), c.maxBlocks)]
	// From the last block to the first, so that a block is never evicted after one that follows it.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.touch(now, prefixes[i])
	}
	return cached * BlockTokens
}

// touch makes a block the most recent one.
func (c *prefixCache) touch(now time.Time, prefix uint64) {
	if element := c.blocks[prefix]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	if c.recent.Len() >= c.maxBlocks {
		c.evictOldest(now)
	}
	c.blocks[prefix] = c.recent.PushFront(prefix)
	c.record(now, prefix, false)
}

func (c *prefixCache) evictOldest(now time.Time) {
	prefix := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, prefix)
	c.record(now, prefix, true)
}

// clear evicts every block.
func (c *prefixCache) clear(now time.Time) {
	for c.recent.Len() > 0 {
		c.evictOldest(now)
	}
}

func (c *prefixCache) record(now time.Time, prefix uint64, evicted bool) {
	c.sequence++
	event := enginev1.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	if len(c.log) >= 2*c.logSize {
		c.log = append(c.log[:0], c.log[len(c.log)-c.logSize+1:]...)
	}
	c.log = append(c.log, timedCacheEvent{at: now, event: event})
}

// events returns the logged events above a sequence number that happened by a time.
func (c *prefixCache) events(after uint64, until time.Time) []enginev1.CacheEvent {
	events := []enginev1.CacheEvent{}
	for _, logged := range c.log[max(0, len(c.log)-c.logSize):] {
		if logged.event.Sequence > after && !logged.at.After(until) {
			events = append(events, logged.event)
		}
	}
	return events
}

func (c *prefixCache) tokens() int { return c.recent.Len() * BlockTokens }
