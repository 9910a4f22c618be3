// Package decay has a number that fades with time.
package decay

import (
	"math"
	"time"
)

// Value is a number that fades exponentially. The zero value is zero and stays so.
type Value struct {
	amount float64
	set    time.Time
}

// Of returns a Value that is an amount at a moment.
func Of(amount float64, now time.Time) Value { return Value{amount: amount, set: now} }

// At returns what is left at a moment, if the value falls to a part of 1/e within life.
func (v Value) At(now time.Time, life time.Duration) float64 {
	if v.amount == 0 {
		return 0
	}
	return v.amount * math.Exp(-now.Sub(v.set).Seconds()/life.Seconds())
}
