// Package sendguard is the last stage before a request leaves for an engine. It logs each send with the age of the engine list that the send
// relies on.
package sendguard

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
)

// Params configures a Transport.
type Params struct {
	// Next sends the requests.
	Next forward.Transport
	// ListConfirmedAt returns the boottime as of which the engine list is known to be current; zero if it never was.
	ListConfirmedAt func() time.Time
	Logger          log.Logger
}

// Transport sends requests to engines. It implements forward.Transport and is safe for concurrent use.
type Transport struct{ Params }

var _ forward.Transport = (*Transport)(nil)

// New returns a Transport.
func New(params Params) *Transport { return &Transport{Params: params} }

// Send implements forward.Transport.
func (t *Transport) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	level.Debug(t.Logger).Log("msg", "request sent", "request", request.ID, "engine", engine.ID, "list_age", boottime.Since(t.ListConfirmedAt()).Round(time.Millisecond))
	return t.Next.Send(ctx, engine, request, options)
}
