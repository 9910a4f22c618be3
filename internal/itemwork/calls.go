package itemwork

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/rpc"
)

// pollWait is how long a poll waits for orders.
const pollWait = time.Second

// WorkerID names a worker.
type WorkerID struct {
	// Name is the node's, Zone its zone, and Instance the name of this start of the process.
	Name, Zone, Instance string
	// Leaving is true if the worker takes no more assignments.
	Leaving bool
}

// PollRequest asks for orders.
type PollRequest struct {
	Worker WorkerID
	// Term is the highest that the worker knows, and Taken the number of the last order of it that it has carried out.
	Term  int64
	Taken uint64
}

// PollReply answers a PollRequest.
type PollReply struct {
	// Leading is false if the process does not coordinate; the rest is empty then.
	Leading bool
	Term    int64
	// Meeting numbers the times at which the desk has met workers. Another one than before tells the worker that the desk had lost it, and with it
	// what the worker has told and the orders that it had not carried out.
	Meeting uint64
	// Held is how long the poll waited before it was answered.
	Held time.Duration
	// Orders are those that the worker is not known to have carried out.
	Orders []Order
}

// Order tells a worker to begin a run, to end one, or to let one go on without a reward call.
type Order struct {
	// Number is higher than those of the worker's earlier orders of the term.
	Number uint64
	// Start is the run to begin, or nil.
	Start *Assignment
	// LeaveWithin is the time, from the answer to the poll, within which the run must be sent. It is negative if that time is over; zero sets no
	// bound.
	LeaveWithin time.Duration
	// Cancel is the run to end, if Start is nil.
	Cancel RunID
	// Release is the run whose stream goes on and that makes no reward call, if Start is nil.
	Release RunID
}

// ReportRequest tells what is new of a worker's runs.
type ReportRequest struct {
	Worker WorkerID
	// Term is the one whose coordinating process is taken to hold what was reported before.
	Term    int64
	Reports []Report
	// Meeting is that of the last reply of the term, by which the receiver's knowledge of earlier reports is judged.
	Meeting uint64
}

// ReportReply answers a ReportRequest. The reports were taken in if it leads and its term is the request's.
type ReportReply struct {
	Leading bool
	Term    int64
	// Meeting is as in PollReply.
	Meeting uint64
	// Unwanted are runs that the worker need not go on with or keep.
	Unwanted []RunID
	// Released are runs whose texts are of use and that must make no reward call. The answer tells it, as it also permits such calls: an order of a
	// poll may come later.
	Released []RunID
	// Interval is the least time between two reports.
	Interval time.Duration
}

// Register makes a server answer for a desk.
func Register(server *rpc.Server, desk *Desk) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request PollRequest) (PollReply, error) {
		return desk.Poll(ctx, request), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request ReportRequest) (ReportReply, error) {
		return desk.Report(request), nil
	})
}

// Poll asks the desk of the process at an address for orders.
func Poll(ctx context.Context, calls *rpc.Client, address string, request PollRequest) (PollReply, error) {
	return rpc.Call[PollRequest, PollReply](ctx, calls, address, request)
}

// SendReports reports to the desk of the process at an address.
func SendReports(ctx context.Context, calls *rpc.Client, address string, request ReportRequest) (ReportReply, error) {
	return rpc.Call[ReportRequest, ReportReply](ctx, calls, address, request)
}
