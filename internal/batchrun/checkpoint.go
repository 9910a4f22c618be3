package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/textlog"
)

const (
	// checkpointInterval is the delay between two checkpoints. Workers report every 300 ms, and a sync takes 1 ms.
	checkpointInterval = 250 * time.Millisecond
	// rewriteSlack is how many bytes beyond twice its last rewritten size the log may grow before it is rewritten. It bounds the time needed to
	// restore the log.
	rewriteSlack = 2 << 20
	// minCheckpointEvents is the minimum length of a text in a checkpoint. Shorter texts are cheap to produce again.
	minCheckpointEvents = 10
)

// readTexts reads the checkpoints of earlier terms from this process's disk, so that unfinished and carried-over items resume from them.
func (r *Runner) readTexts() textlog.Restored {
	if r.TextFolder == "" {
		return textlog.Restored{}
	}
	started := r.now()
	restored, err := textlog.Read(r.TextFolder)
	level.Info(r.Logger).Log("msg", "texts restored", "texts", len(restored.Texts), "records", restored.Records, "damaged_files", restored.Damaged,
		"took", r.now().Sub(started).Round(time.Microsecond), "err", err)
	return restored
}

// takeTexts keeps the texts that were read for the term's items. It returns the log of this term, or nil if no disk is configured or it is not
// writable. The mutex must be held.
func (r *Runner) takeTexts(restored textlog.Restored) *textlog.Log {
	if r.TextFolder == "" {
		return nil
	}
	for key, text := range restored.Texts {
		r.unfinished.put(unfinishedText{key: key, model: text.Model, text: text.Text})
	}
	log, err := textlog.Open(r.TextFolder, r.TextLimit)
	if err != nil {
		level.Error(r.Logger).Log("msg", "failed to open checkpoint log; unfinished texts are not written to disk", "err", err)
		return nil
	}
	return log
}

// runCheckpoints writes checkpoints of unfinished texts to this process's disk until ctx ends.
func (r *Runner) runCheckpoints(ctx context.Context, log *textlog.Log) {
	defer log.Close()
	// The first checkpoint replaces the files of earlier processes.
	rewrite := true
	var rewritten int64
	for ctx.Err() == nil {
		if rewrite {
			rewrite = !r.rewriteTexts(log)
			rewritten = log.Size()
		} else {
			rewrite = !r.appendTexts(log) || log.Size() > 2*rewritten+rewriteSlack
		}
		pause.For(ctx, checkpointInterval)
	}
}

// rewriteTexts replaces the log's content by the current texts. It reports success.
func (r *Runner) rewriteTexts(log *textlog.Log) bool {
	r.mu.Lock()
	entries := r.allTexts()
	r.mu.Unlock()
	return r.recordCheckpoint(len(entries), log.Rewrite(entries))
}

// appendTexts appends the new events of texts to the log. It reports success.
func (r *Runner) appendTexts(log *textlog.Log) bool {
	r.mu.Lock()
	entries := r.changedTexts()
	r.mu.Unlock()
	return len(entries) == 0 || r.recordCheckpoint(len(entries), log.Append(entries))
}

// recordCheckpoint reports the outcome of a write to the observer, and returns whether the write succeeded. After a failed write the log is
// rewritten.
func (r *Runner) recordCheckpoint(texts int, err error) (done bool) {
	r.Observer.Checkpointed(texts, err)
	if err != nil && !errors.Is(err, textlog.ErrFull) {
		level.Warn(r.Logger).Log("msg", "failed to write checkpoint of unfinished texts", "texts", texts, "err", err)
	}
	return err == nil
}

// changedTexts returns the events added to unfinished texts since the last call. The mutex must be held.
func (r *Runner) changedTexts() []textlog.Entry {
	var entries []textlog.Entry
	for _, it := range r.unfinishedItems() {
		if it.text.Len() < minCheckpointEvents || !it.text.unwritten() {
			continue
		}
		entries = append(entries, r.itemEntry(it))
	}
	return entries
}

// allTexts returns all unfinished texts, and those kept for later jobs, from their start. The mutex must be held.
func (r *Runner) allTexts() []textlog.Entry {
	var entries []textlog.Entry
	r.unfinished.each(func(kept *unfinishedText) {
		if kept.text.Len() >= minCheckpointEvents {
			entries = append(entries, checkpointEntry(kept.key, kept.model, &kept.text, 0, r.nextTextStart()))
		}
	})
	for _, it := range r.unfinishedItems() {
		it.text.markUnwritten()
		if it.text.Len() >= minCheckpointEvents {
			entries = append(entries, r.itemEntry(it))
		}
	}
	return entries
}

// unfinishedItems returns the items without a result, including those of detached runs. The mutex must be held.
func (r *Runner) unfinishedItems() []*item {
	var found []*item
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseFinished {
				found = append(found, it)
			}
		}
	}
	for _, detached := range r.detached {
		found = append(found, detached.item)
	}
	return found
}

// itemEntry returns an entry with what the checkpoint lacks of an item's text, and counts it as written. The mutex must be held.
func (r *Runner) itemEntry(it *item) textlog.Entry {
	if it.text.checkpointed == 0 {
		it.text.start = r.nextTextStart()
	}
	entry := checkpointEntry(it.textKey(), it.job.Model, &it.text.Text, it.text.checkpointed, it.text.start)
	it.text.markWritten()
	return entry
}

// nextTextStart returns a number for an entry that begins a text. The mutex must be held.
func (r *Runner) nextTextStart() uint64 {
	r.textStarts++
	return r.textStarts
}

func checkpointEntry(key, model string, text *itemwork.Text, from int, start uint64) textlog.Entry {
	return textlog.Entry{Item: key, Model: model, From: from, Start: start, Segments: text.After(from), LastID: text.LastID, Whole: text.Whole}
}
