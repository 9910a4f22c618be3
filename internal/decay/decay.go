// Package decay implements a value that decays exponentially with time.
package decay

import (
	"math"
	"time"
)

// Value is a number that decays exponentially. The zero value is zero at all times.
type Value struct {
	amount float64
	set    time.Time
}

// New returns a Value with the given amount at a time.
func New(amount float64, now time.Time) Value { return Value{amount: amount, set: now} }

// Plus returns the sum of an amount and what remains of the value at a time.
func (v Value) Plus(amount float64, now time.Time, timeConstant time.Duration) Value {
	return New(v.At(now, timeConstant)+amount, now)
}

// At returns the remaining amount at a time. It decays to 1/e of itself within timeConstant.
func (v Value) At(now time.Time, timeConstant time.Duration) float64 {
	if v.amount == 0 {
		return 0
	}
	return v.amount * math.Exp(-now.Sub(v.set).Seconds()/timeConstant.Seconds())
}
