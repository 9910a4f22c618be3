package scheduler

// The defaults of a retry budget.
const (
	// RetryRatio is the number of retries that one success earns.
	RetryRatio = 0.2
	// RetryBurst is the greatest number of retries that can be saved up; a new budget starts with it.
	RetryBurst = 10
)

// RetryBudget bounds a caller's retries to a fraction of its successes, so that retries cannot multiply the load
// while most requests fail. It is a token bucket that successes fill. It is not safe for concurrent use.
type RetryBudget struct {
	ratio   float64
	burst   float64
	balance float64
}

// NewRetryBudget returns a full budget. ratio is the retries that a success earns; burst is the size of the bucket.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, balance: burst}
}

// Succeed earns a fraction of a retry.
func (b *RetryBudget) Succeed() {
	b.balance = min(b.burst, b.balance+b.ratio)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
