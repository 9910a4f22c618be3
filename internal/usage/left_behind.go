package usage

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
)

// readLeftBehind takes in what gateways that reach no coordinating process have left in the store, and removes what is reported.
func (r *Reporter) readLeftBehind(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := metastore.ListAll(ctx, r.Store, KindCounts, "")
	if err != nil {
		level.Warn(r.Logger).Log("msg", "counts left in the store not read", "err", err)
		return
	}
	for _, object := range objects {
		if r.takeLeftBehind(object) {
			continue
		}
		if err := r.Store.Delete(ctx, KindCounts, object.Name, object.Revision); err != nil {
			level.Info(r.Logger).Log("msg", "counts left in the store not removed", "source", object.Name, "err", err)
		}
	}
}

// takeLeftBehind takes in one object. It reports whether the object is of any more use.
func (r *Reporter) takeLeftBehind(object metastore.Object) (wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leftBehind[object.Name] == object.Revision && r.leftUntil[object.Name] > r.ledger.reportedTo {
		return true
	}
	var spec countsSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		level.Error(r.Logger).Log("msg", "counts left in the store do not parse", "source", object.Name, "err", err)
		return true
	}
	r.takeIn(TellRequest{Source: object.Name, Windows: spec.Windows})
	last := r.ledger.reportedTo
	for _, told := range spec.Windows {
		last = max(last, told.Window)
	}
	r.leftBehind[object.Name], r.leftUntil[object.Name] = object.Revision, last
	return last > r.ledger.reportedTo
}
