package scheduler

// Defaults of a retry budget.
const (
	// RetryRatio is the number of retries earned by a success.
	RetryRatio = 0.2
	// RetryBurst is the capacity of the budget, which starts full.
	RetryBurst = 10
)

// RetryBudget bounds retries to a fraction of the successes, so that retries do not multiply the load while most requests fail. It is a
// token bucket filled by successes. It is not safe for concurrent use.
type RetryBudget struct {
	ratio   float64
	burst   float64
	balance float64
}

// NewRetryBudget returns a full budget. ratio is the number of retries earned by a success; burst is the capacity.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, balance: burst}
}

// Succeed adds the retries earned by one success.
func (b *RetryBudget) Succeed() {
	b.balance = min(b.burst, b.balance+b.ratio)
}

// Withdraw takes one retry from the budget. It reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
