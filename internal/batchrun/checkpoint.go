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
	// checkpointInterval is the pause between two writes of what texts have grown by: workers report every 300 ms, and a sync takes
	// a millisecond.
	checkpointInterval = 250 * time.Millisecond
	// rewriteSlack is by how much the log may outgrow what it held when it was last written anew, before it is written anew: a term that
	// reads it back takes 10 ms a megabyte.
	rewriteSlack = 2 << 20
	// minCheckpointEvents is the length from which texts are kept: some 0.4 s of work. Most texts end soon after.
	minCheckpointEvents = 10
)

// openTexts reads the texts that earlier terms have left on this process's disk, so that the items which lack a text, or will come
// again, go on after them. It returns the log of this term; nil if there is no disk, or none that can be written. The mutex must be
// held.
func (r *Runner) openTexts() *textlog.Log {
	if r.TextFolder == "" {
		return nil
	}
	started := r.now()
	restored, err := textlog.Read(r.TextFolder)
	for name, text := range restored.Texts {
		r.kept.put(unfinishedText{name: name, model: text.Model, text: text.Text})
	}
	level.Info(r.Logger).Log("msg", "texts restored", "texts", len(restored.Texts), "records", restored.Records, "damaged_files", restored.Damaged,
		"took", r.now().Sub(started).Round(time.Microsecond), "err", err)
	log, err := textlog.Open(r.TextFolder, r.TextLimit)
	if err != nil {
		level.Error(r.Logger).Log("msg", "texts are not kept on disk", "err", err)
		return nil
	}
	return log
}

// checkpoint keeps what texts grow by on this process's disk until ctx ends.
func (r *Runner) checkpoint(ctx context.Context, log *textlog.Log) {
	defer log.Close()
	// The files of earlier processes are replaced by what is known now.
	anew := true
	var rewritten int64
	for ctx.Err() == nil {
		if anew {
			anew = !r.rewriteTexts(log)
			rewritten = log.Size()
		} else {
			anew = !r.appendTexts(log) || log.Size() > 2*rewritten+rewriteSlack
		}
		pause.For(ctx, checkpointInterval)
	}
}

// rewriteTexts makes the log hold what is known now, and nothing else. It reports whether that was written.
func (r *Runner) rewriteTexts(log *textlog.Log) bool {
	r.mu.Lock()
	entries := r.allTexts()
	r.mu.Unlock()
	return r.noteCheckpoint(len(entries), log.Rewrite(entries))
}

// appendTexts adds what texts have grown by. It reports whether that was written.
func (r *Runner) appendTexts(log *textlog.Log) bool {
	r.mu.Lock()
	entries := r.grownTexts()
	r.mu.Unlock()
	return len(entries) == 0 || r.noteCheckpoint(len(entries), log.Append(entries))
}

// noteCheckpoint takes in the outcome of a write. After one that failed everything is written anew.
func (r *Runner) noteCheckpoint(texts int, err error) (done bool) {
	r.Observer.Checkpointed(texts, err)
	if err != nil && !errors.Is(err, textlog.ErrFull) {
		level.Warn(r.Logger).Log("msg", "texts not kept on disk", "texts", texts, "err", err)
	}
	return err == nil
}

// grownTexts returns what unfinished texts have grown by since they were last returned. The mutex must be held.
func (r *Runner) grownTexts() []textlog.Entry {
	var entries []textlog.Entry
	for _, it := range r.unfinishedItems() {
		length := it.text.Len()
		if length < it.checkpointed {
			// The text was begun anew.
			it.checkpointed = 0
		}
		if length < minCheckpointEvents || length == it.checkpointed && it.text.Whole == it.checkpointedWhole {
			continue
		}
		entries = append(entries, checkpointOf(it.textName(), it.job.Model, &it.text, it.checkpointed))
		it.checkpointed, it.checkpointedWhole = length, it.text.Whole
	}
	return entries
}

// allTexts returns all unfinished texts, and those that later jobs may use, from their start. The mutex must be held.
func (r *Runner) allTexts() []textlog.Entry {
	var entries []textlog.Entry
	r.kept.each(func(kept *unfinishedText) {
		if kept.text.Len() >= minCheckpointEvents {
			entries = append(entries, checkpointOf(kept.name, kept.model, &kept.text, 0))
		}
	})
	for _, it := range r.unfinishedItems() {
		it.checkpointed, it.checkpointedWhole = it.text.Len(), it.text.Whole
		if it.checkpointed >= minCheckpointEvents {
			entries = append(entries, checkpointOf(it.textName(), it.job.Model, &it.text, 0))
		}
	}
	return entries
}

// unfinishedItems returns the items whose texts still grow, or are not listed yet. The mutex must be held.
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

func checkpointOf(name, model string, text *itemwork.Text, from int) textlog.Entry {
	return textlog.Entry{Item: name, Model: model, From: from, Segments: text.After(from), LastID: text.LastID, Whole: text.Whole}
}
