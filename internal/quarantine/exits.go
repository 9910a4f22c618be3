package quarantine

import (
	"slices"
	"time"
)

const (
	// exitWindow is the time within which the exits of several engines may have a common cause. It covers the time until an exit is found by the
	// last probe, and reported.
	exitWindow = 2500 * time.Millisecond
	// maxExits bounds the exits of an exitLog.
	maxExits = 4096
)

// exitLog holds the recent engine exits that a table has learned of, in order of time. An exit has the time of its first report, which is late by
// the time that the report took.
type exitLog struct {
	times []time.Time
	// at maps engine starts to their exits.
	at map[string]time.Time
}

// add records the exit of an engine start; an exit that is known keeps its time.
func (l *exitLog) add(engine string, at time.Time) {
	if _, known := l.at[engine]; known || len(l.times) >= maxExits {
		return
	}
	if l.at == nil {
		l.at = make(map[string]time.Time)
	}
	l.at[engine] = at
	index, _ := slices.BinarySearchFunc(l.times, at, time.Time.Compare)
	l.times = slices.Insert(l.times, index, at)
}

// dropBefore forgets the exits before a time.
func (l *exitLog) dropBefore(oldest time.Time) {
	index, _ := slices.BinarySearchFunc(l.times, oldest, time.Time.Compare)
	l.times = slices.Delete(l.times, 0, index)
	for engine, at := range l.at {
		if at.Before(oldest) {
			delete(l.at, engine)
		}
	}
}

// update raises a record's Exits to the number of exits that the log has. Records below the least number of crashes that matters are left alone.
func (l *exitLog) update(record *Record) {
	if len(record.Engines) >= isolateCrashes {
		record.Exits = max(record.Exits, l.near(record.Engines))
	}
}

// near returns the number of exits within exitWindow of the last minHoldCrashes exits of the engine starts.
func (l *exitLog) near(engines []string) int {
	own := make([]time.Time, 0, len(engines))
	for _, engine := range engines {
		if at, known := l.at[engine]; known {
			own = append(own, at)
		}
	}
	slices.SortFunc(own, time.Time.Compare)
	own = own[max(len(own)-minHoldCrashes, 0):]
	count, counted := 0, 0
	for _, at := range own {
		from, _ := slices.BinarySearchFunc(l.times, at.Add(-exitWindow), time.Time.Compare)
		to, _ := slices.BinarySearchFunc(l.times, at.Add(exitWindow+1), time.Time.Compare)
		count += to - max(from, counted)
		counted = to
	}
	return count
}
