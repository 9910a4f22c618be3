package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Instant is one moment by the two clocks of a process.
type Instant struct {
	// Monotonic never goes back and is at most the allowed drift faster or slower than real time, except that it may
	// stand still while the whole machine is stopped.
	Monotonic time.Duration
	// Wall may jump. It is in no way trusted to be right.
	Wall time.Time
}

// Reached reports whether either clock of now has come to the moment.
func (i Instant) Reached(now Instant) bool {
	return now.Monotonic >= i.Monotonic || !now.Wall.Before(i.Wall)
}

// Config is a process's part in a group of leases. All processes of a group must have the same Length and Drift.
type Config struct {
	// Name is the process's name, and Incarnation tells its lives apart; take a random one at each start.
	Name        string
	Incarnation uint64
	// Length is how long a voter's grant lasts. A holder counts its lease a little shorter, by Drift.
	Length time.Duration
	// Drift is how much faster or slower than real time a monotonic clock may run, as a fraction. Zero means DefaultDrift.
	Drift float64
	// RankDelay is how much longer a candidate waits for each rank before it asks for a free lease. Zero means Length/8.
	RankDelay time.Duration
	// Rand gives jitter. It is used by one goroutine at a time. Nil means a source seeded by Incarnation.
	Rand *rand.Rand

	// The following break the argument on purpose, to test that the checker notices.
	testBreakNoAbstention     bool
	testBreakMeasureFromReply bool
	testBreakHalfMajority     bool
	testBreakTokenFromClock   bool
}

const (
	// DefaultDrift is far above that of any working clock.
	DefaultDrift = 0.05
	// renewalsPerLength is how often a holder asks again within a lease length, retriesPerLength how often it does while a
	// renewal lacks a majority: three asks fall into a lease length before it ends.
	renewalsPerLength = 2
	retriesPerLength  = 6
	ranksPerLength    = 8
	// attemptsPerLength bounds how long a candidate waits for a majority before it begins anew.
	attemptsPerLength = 3
	// retryGrid is how many moments of a lease length candidates ask at for leases that others hold.
	retryGrid = 8
	maxDrift  = 0.5
)

// ErrConfig reports a Config that no process can run with.
var ErrConfig = errors.New("lease: bad config")

// withDefaults returns the config with the defaults filled in.
func (c Config) withDefaults() (Config, error) {
	if c.Drift == 0 {
		c.Drift = DefaultDrift
	}
	if c.Name == "" {
		return c, fmt.Errorf("%w: no name", ErrConfig)
	}
	if c.Length <= 0 {
		return c, fmt.Errorf("%w: length %v", ErrConfig, c.Length)
	}
	if c.Drift < 0 || c.Drift > maxDrift {
		return c, fmt.Errorf("%w: drift %v", ErrConfig, c.Drift)
	}
	if c.RankDelay == 0 {
		c.RankDelay = c.Length / ranksPerLength
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(c.Incarnation, c.Incarnation))
	}
	return c, nil
}

// heldLength is how long a holder counts its lease. A slow clock of the holder and a fast one of the voter make the
// holder's count end no later than the voter's.
func (c Config) heldLength() time.Duration {
	return time.Duration(float64(c.Length) * (1 - c.Drift) / (1 + c.Drift))
}

// jitter returns a random duration below the limit.
func (c Config) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.Rand.Int64N(int64(limit) + 1))
}
