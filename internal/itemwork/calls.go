package itemwork

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/rpc"
)

// pollWait is how long the dispatcher holds a poll that has no orders.
const pollWait = time.Second

// WorkerID identifies one start of a worker process.
type WorkerID struct {
	// Name is the node's name, Zone its zone, and Instance is unique to this start of the process.
	Name, Zone, Instance string
	// Leaving is true if the worker accepts no new assignments.
	Leaving bool
}

// PollRequest asks the dispatcher for orders.
type PollRequest struct {
	Worker WorkerID
	// Term is the highest term that the worker has seen, and Taken the number of the last order of that term that it has carried out.
	Term  int64
	Taken uint64
}

// PollReply answers a PollRequest.
type PollReply struct {
	// Leading is false if the process is not the coordinator; the other fields are empty then.
	Leading bool
	Term    int64
	// Meeting numbers the worker's registration with the dispatcher. A changed number tells the worker that the dispatcher had dropped it, along
	// with its reports and unconfirmed orders.
	Meeting uint64
	// Held is how long the dispatcher held the poll before answering.
	Held time.Duration
	// Orders are the orders that the worker has not confirmed.
	Orders []Order
}

// Order tells a worker to start a run, to cancel one, or to let one finish without its reward call.
type Order struct {
	// Number is higher than those of the worker's earlier orders of the term.
	Number uint64
	// Start is the run to start; nil for other orders.
	Start *Assignment
	// LeaveWithin is the time, counted from the answer to the poll, within which the run must be sent to its engine. Zero sets no bound; a negative
	// value means that the deadline has passed.
	LeaveWithin time.Duration
	// Cancel is the run to cancel if Start is nil.
	Cancel RunID
	// Release is the run that continues its stream but makes no reward call, if Start is nil.
	Release RunID
}

// ReportRequest carries a worker's run updates since its last accepted report.
type ReportRequest struct {
	Worker WorkerID
	// Term is the term that the earlier reports were accepted in.
	Term    int64
	Reports []Report
	// Meeting is that of the last reply of the term. It shows whether the dispatcher still holds the earlier reports.
	Meeting uint64
}

// ReportReply answers a ReportRequest. The reports were accepted if Leading is true and Term equals the request's.
type ReportReply struct {
	Leading bool
	Term    int64
	// Meeting is as in PollReply.
	Meeting uint64
	// Unwanted are runs that the worker should cancel and drop.
	Unwanted []RunID
	// Released are runs whose text is still wanted but that must make no reward call. It is part of this reply because the reply also permits
	// reward calls, and the corresponding order may arrive later.
	Released []RunID
	// Interval is the minimum time between two reports.
	Interval time.Duration
}

// Register registers the handlers of a dispatcher with a server.
func Register(server *rpc.Server, dispatcher *Dispatcher) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request PollRequest) (PollReply, error) {
		return dispatcher.Poll(ctx, request), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request ReportRequest) (ReportReply, error) {
		return dispatcher.Report(request), nil
	})
}

// Poll requests orders from the dispatcher at an address.
func Poll(ctx context.Context, calls *rpc.Client, address string, request PollRequest) (PollReply, error) {
	return rpc.Call[PollRequest, PollReply](ctx, calls, address, request)
}

// SendReports sends reports to the dispatcher at an address.
func SendReports(ctx context.Context, calls *rpc.Client, address string, request ReportRequest) (ReportReply, error) {
	return rpc.Call[ReportRequest, ReportReply](ctx, calls, address, request)
}
