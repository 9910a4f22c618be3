package usage

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/permits"
)

// keep writes the ledger, on the condition that nobody else has, after reading it if what the store holds is not known. ErrLost if a later
// term has written it.
func (r *Reporter) keep(ctx context.Context, token int64) error {
	if r.revision == 0 {
		if err := r.read(ctx, token); err != nil {
			return err
		}
	}
	object, fixed, err := r.encode(token)
	if err != nil {
		return err
	}
	err = r.write(ctx, object)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.dirty = true
		return err
	}
	r.sendable = fixed
	r.kept = time.Now()
	r.keepPause = max(keepInterval, time.Duration(len(object.Spec))*time.Second/keepBytesPerSecond)
	return nil
}

// encode returns the ledger's object, and the reports that it fixes.
func (r *Reporter) encode(token int64) (metastore.Object, []Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	content, err := r.ledger.encode(token)
	r.dirty = false
	return metastore.Object{Name: ledgerName, Spec: content, Revision: r.revision}, r.ledger.fixed(), err
}

// read merges what the store holds. An object that was never written leaves the revision at zero.
func (r *Reporter) read(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := r.Store.Get(ctx, KindLedgers, ledgerName)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	stored, writer, err := decodeLedger(object.Spec)
	if err != nil {
		return err
	}
	if writer > token {
		return permits.ErrLost
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.merge(stored)
	r.revision = object.Revision
	return nil
}

// write stores the object. After an error it is read again before the next write.
func (r *Reporter) write(ctx context.Context, object metastore.Object) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.revision = 0
	store := r.Store.Replace
	if object.Revision == 0 {
		store = r.Store.Create
	}
	stored, err := store(ctx, KindLedgers, object)
	if err != nil {
		return err
	}
	r.revision = stored.Revision
	return nil
}

// keepLast writes what the store lacks at the end of the term, if it served the last call.
func (r *Reporter) keepLast(ctx context.Context, token int64) {
	r.mu.Lock()
	needed := r.dirty && r.revision != 0
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
