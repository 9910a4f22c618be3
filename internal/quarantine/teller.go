package quarantine

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// tellTimeout bounds one attempt to tell, so that three fit into the 3 s after which a gateway elsewhere must know.
	tellTimeout = 700 * time.Millisecond
	// tellRetry is the pause after an attempt that failed.
	tellRetry = 100 * time.Millisecond
	// lookInterval is the pause between two looks at who coordinates.
	lookInterval = 500 * time.Millisecond
)

// TellerParams are what a Teller works with.
type TellerParams struct {
	Table *Table
	// Coordinator returns who coordinates; its address is "" if nobody is known to.
	Coordinator func() election.Term
	// Send tells the process at an address.
	Send   func(ctx context.Context, address string, request TellRequest) (TellReply, error)
	Logger log.Logger
}

// Teller tells the coordinating process what this process finds out, and each new one all that is known here.
type Teller struct {
	TellerParams
	// told is who was last told, and cursor what.
	told   election.Term
	cursor Cursor
	// failing is true since an attempt failed.
	failing bool
}

// NewTeller returns a Teller. Run starts it.
func NewTeller(params TellerParams) *Teller { return &Teller{TellerParams: params} }

// Run tells until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := t.Coordinator()
		if term != t.told {
			t.cursor = Cursor{}
		}
		found, changed := t.Table.Found(t.cursor)
		if len(found.Records) == 0 {
			t.told, t.cursor = term, found.Cursor
			pause.Unless(ctx, changed, lookInterval)
			continue
		}
		if err := t.send(ctx, term, found.Records); err != nil {
			t.noteFailure(term, len(found.Records), err)
			pause.For(ctx, tellRetry)
			continue
		}
		t.told, t.cursor, t.failing = term, found.Cursor, false
	}
}

// errNotLeading reports a process that does not coordinate.
var errNotLeading = errors.New("quarantine: the process does not coordinate")

func (t *Teller) send(ctx context.Context, term election.Term, records []Record) error {
	if term.Address == "" {
		return errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	reply, err := t.Send(ctx, term.Address, TellRequest{Records: records})
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	return err
}

func (t *Teller) noteFailure(term election.Term, records int, err error) {
	if t.failing {
		return
	}
	t.failing = true
	level.Info(t.Logger).Log("msg", "findings not told", "coordinator", term.Address, "records", records, "err", err)
}
