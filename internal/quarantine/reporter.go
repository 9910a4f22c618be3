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
	// reportTimeout bounds one attempt, so that three fit into the 3 s within which other gateways must receive a record.
	reportTimeout = 700 * time.Millisecond
	// reportRetryDelay is the delay after a failed attempt.
	reportRetryDelay = 100 * time.Millisecond
	// termPollInterval is the interval at which a change of the coordinator is checked for.
	termPollInterval = 500 * time.Millisecond
)

// ReporterParams configures a Reporter.
type ReporterParams struct {
	Table *Table
	// Coordinator returns the current term; its address is empty if no coordinator is known.
	Coordinator func() election.Term
	// Send sends records to the process at an address.
	Send   func(ctx context.Context, address string, request TellRequest) (TellReply, error)
	Logger log.Logger
}

// Reporter sends the records that this process changes to the coordinator, and all its records to each new one.
type Reporter struct {
	ReporterParams
	// reported is the term that records were last sent to, and cursor how far.
	reported election.Term
	cursor   Cursor
	// failing is true after a failed attempt, until the next success.
	failing bool
}

// NewReporter returns a Reporter. Run starts it.
func NewReporter(params ReporterParams) *Reporter { return &Reporter{ReporterParams: params} }

// Run sends records until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := r.Coordinator()
		if term != r.reported {
			r.cursor = Cursor{}
		}
		changes, changed := r.Table.LocalSince(r.cursor)
		if len(changes.Records) == 0 {
			r.reported, r.cursor = term, changes.Cursor
			pause.Unless(ctx, changed, termPollInterval)
			continue
		}
		if err := r.send(ctx, term, changes.Records); err != nil {
			r.logFailure(term, len(changes.Records), err)
			pause.For(ctx, reportRetryDelay)
			continue
		}
		r.reported, r.cursor, r.failing = term, changes.Cursor, false
	}
}

// errNotLeading reports a receiver that is not the coordinator.
var errNotLeading = errors.New("quarantine: receiver is not the coordinator")

func (r *Reporter) send(ctx context.Context, term election.Term, records []Record) error {
	if term.Address == "" {
		return errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.Send(ctx, term.Address, TellRequest{Records: records})
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	return err
}

func (r *Reporter) logFailure(term election.Term, records int, err error) {
	if r.failing {
		return
	}
	r.failing = true
	level.Info(r.Logger).Log("msg", "quarantine records not sent to coordinator", "coordinator", term.Address, "records", records, "err", err)
}
