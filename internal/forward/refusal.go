package forward

import (
	"strings"
	"time"
)

// Cause is why a request was not run, more closely than its Reason, as used in logs and metrics.
type Cause string

// The causes of refusals at a full service. A request that was not run for another reason has that reason as its cause, with underscores.
const (
	// CauseExpectedWait means that the request was refused at once because it was expected to wait too long.
	CauseExpectedWait Cause = "expected_wait"
	// CauseQueueTimeout means that the request has waited for as long as it may.
	CauseQueueTimeout Cause = "queue_timeout"
	// CauseDisplaced means that requests of tenants with fewer waiting go before the request, so that it would have waited too long.
	CauseDisplaced Cause = "displaced"
	// CauseQueueFull means that the queue was full and the request's tenant had the most waiting.
	CauseQueueFull Cause = "queue_full"
	// CauseNoCapacity means that no engine may be sent the request now and that it may not wait.
	CauseNoCapacity Cause = "no_capacity"
)

// reportRefusal counts a request that was not run. It returns the fields that explain the refusal: the cause, the tenant, and what a request of the
// tenant finds in the queue now.
func (j *job) reportRefusal(result Result) []any {
	cause := j.cause
	if cause == "" || (result.Reason != ReasonEnginesFull && result.Reason != ReasonUnreachable) {
		cause = Cause(strings.ReplaceAll(string(result.Reason), " ", "_"))
	}
	if j.LoadObserver != nil {
		j.LoadObserver.Refused(j.service, cause)
	}
	position := j.waiting.position(j.service, j.rank, j.request.Tenant)
	return []any{"cause", string(cause), "tenant", j.request.Tenant, "tenant_waiting", position.tenantWaiting, "waiting", position.waiting,
		"expected_wait", position.expectedWait.Round(time.Millisecond), "retry_after", result.RetryAfter.Round(time.Millisecond)}
}
