package usage

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/permits"
)

// keep writes the ledger, on the condition that nobody else has, after reading it if what the store holds is not known. ErrSuperseded if a later
// term has written it.
func (r *Reporter) keep(ctx context.Context, token int64) error {
	if !r.cell.Known() {
		if err := r.read(ctx, token); err != nil {
			return err
		}
	}
	content, fixed, err := r.encode(token)
	if err != nil {
		return err
	}
	err = r.cell.Write(ctx, content)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.dirty = true
		return err
	}
	r.sendable = fixed
	r.kept = time.Now()
	r.keepPause = max(keepInterval, time.Duration(len(content))*time.Second/keepBytesPerSecond)
	return nil
}

// encode returns the content of the ledger's object, and the reports that it fixes.
func (r *Reporter) encode(token int64) (json.RawMessage, []Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	content, err := r.ledger.encode(token)
	r.dirty = false
	return content, r.ledger.fixed(), err
}

// read merges what the store holds.
func (r *Reporter) read(ctx context.Context, token int64) error {
	content, err := r.cell.Read(ctx)
	if err != nil || content == nil {
		return err
	}
	stored, writer, err := decodeLedger(content)
	if err == nil && writer > token {
		err = permits.ErrSuperseded
	}
	if err != nil {
		r.cell.Forget()
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.merge(stored)
	return nil
}

// keepLast writes what the store lacks at the end of the term, if it served the last call.
func (r *Reporter) keepLast(ctx context.Context, token int64) {
	r.mu.Lock()
	needed := r.dirty && r.cell.Known()
	r.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepLastTimeout)
	defer cancel()
	if err := r.keep(ctx, token); err != nil {
		level.Info(r.Logger).Log("msg", "ledger not kept at the end of the term", "token", token, "err", err)
	}
}
