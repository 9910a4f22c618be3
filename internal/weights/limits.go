package weights

import "time"

// Limits bound what a coordinator asks of the engines of its zone and how patient it is.
type Limits struct {
	// StorePrepares bounds the engines of the zone that load from the weight store at once.
	StorePrepares int
	// CopiesPerHolder bounds the engines that copy from one engine at once.
	CopiesPerHolder int
	// ActivateShare is the largest share of a pool's engines in the zone that activate at once, those leaving aside; at
	// least one may.
	ActivateShare float64
	// Orders bounds the orders in flight.
	Orders int
	// OrderTimeout bounds one order, PollTimeout one load report.
	OrderTimeout time.Duration
	PollTimeout  time.Duration
	// PrepareTimeout is how long an engine may load a version before it is ordered again.
	PrepareTimeout time.Duration
	// PollInterval is the time between two load reports of an engine that is waited for.
	PollInterval time.Duration
	// ReportLag is the greatest lag of a load report: for that long, an order's answer outweighs a report.
	ReportLag time.Duration
	// RetryBase and RetryMax bound the exponential backoff after an order that failed, and of a publisher.
	RetryBase time.Duration
	RetryMax  time.Duration
	// Refresh is the time after which a coordinator that has a target is told again.
	Refresh time.Duration
}

// DefaultLimits returns the limits that hold where nothing else is said.
func DefaultLimits() Limits {
	return Limits{
		StorePrepares:   2,
		CopiesPerHolder: 2,
		ActivateShare:   0.25,
		Orders:          128,
		OrderTimeout:    2 * time.Second,
		PollTimeout:     2 * time.Second,
		PrepareTimeout:  5 * time.Minute,
		PollInterval:    250 * time.Millisecond,
		ReportLag:       2 * time.Second,
		RetryBase:       200 * time.Millisecond,
		RetryMax:        5 * time.Second,
		Refresh:         10 * time.Second,
	}
}

// backoff returns the wait after a number of failures in a row.
func (l Limits) backoff(failures int) time.Duration {
	wait := l.RetryBase
	for range failures - 1 {
		wait *= 2
		if wait >= l.RetryMax {
			return l.RetryMax
		}
	}
	return wait
}
