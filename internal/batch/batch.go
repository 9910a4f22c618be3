// Package batch holds the types of batch jobs: many requests that are submitted together and run later, and their results,
// each with a position.
package batch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Job is a batch job as it was submitted.
type Job struct {
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Tenant names whose job it is; empty for nobody's. Only callers of the same tenant learn of it.
	Tenant string
	// Step is the trainer's count of its jobs.
	Step  int64
	Model string
	// MinVersion is the oldest weight version that may make a result.
	MinVersion int64
	// Desired is how many whole groups the trainer waits for.
	Desired int
	Items   []Item
	// Regions are the sets of regions to which the job was bound when it was accepted; a region must be in each of them. RewardRegions are those
	// of its reward calls. Empty sets are left out. Both are empty in jobs that older versions accepted.
	Regions       [][]string
	RewardRegions [][]string
}

// Item is one request of a job.
type Item struct {
	ID   string
	Path string
	// Header holds the fields that go to the engine.
	Header map[string]string
	Body   []byte
	// Tokens is the size of the prompt and the most that may come out.
	Tokens int
	// Group names items that share their prompt.
	Group string
	// Prefix identifies the shared parts of the prompt.
	Prefix string
	// ExpectedLength is the caller's estimate of the tokens that come out; zero if there is none.
	ExpectedLength int
	Reward         *Reward
}

// Reward is the call that judges an item's text.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// State is how an item ended.
type State int

// The states.
const (
	// Done means that the whole text is there.
	Done State = iota
	// Dead means that the item was given up.
	Dead
)

// Result is the end of an item.
type Result struct {
	ID    string
	State State
	// Text holds the data of all events in order, separated by line feeds.
	Text string
	// Versions are the weight versions that made the text, in rising order.
	Versions []int64
	Score    string
}

// Reading is a part of a job's results.
type Reading struct {
	// Total is the number of the job's items.
	Total int
	// Results are those from the position that was asked for.
	Results []Result
	// Next is the position behind the last of them.
	Next int
}

var (
	// ErrNotFound reports that there is no such job or item.
	ErrNotFound = errors.New("batch: not found")
	// ErrRefused reports a call that was not carried out and never will be.
	ErrRefused = errors.New("batch: refused")
	// ErrExcluded is an ErrRefused: the job's bounds exclude the region of the coordinating process.
	ErrExcluded = fmt.Errorf("%w: region not allowed", ErrRefused)
	// ErrUnavailable reports a call that cannot be answered for sure now.
	ErrUnavailable = errors.New("batch: unavailable")
)

// Service takes batch jobs. Every method may return ErrUnavailable.
type Service interface {
	// Submit returns nil once the job is kept for good; a job that is kept already is taken again without effect. ErrRefused
	// if it is not kept and never will be, or if its ID is that of another tenant's job.
	Submit(ctx context.Context, job Job) error
	// Read returns results from a position on, at least one if there is any within the wait. ErrNotFound if there is no such
	// job.
	Read(ctx context.Context, ref Ref, position int, wait time.Duration) (Reading, error)
	// Body returns the body of an item that has no result yet. ErrNotFound if there is none.
	Body(ctx context.Context, ref Ref, item string) ([]byte, error)
	// End ends a job; ending it again has no effect. ErrNotFound if there is no such job.
	End(ctx context.Context, ref Ref) error
}

// Ref names a job as a caller asks for it.
type Ref struct {
	ID string
	// Tenant is the caller's; empty for a caller without one.
	Tenant string
}

// MayBeSeenBy reports whether a caller of a tenant may learn of the job. Jobs of other tenants are ErrNotFound to it.
func (j *Job) MayBeSeenBy(tenant string) bool { return j.Tenant == "" || j.Tenant == tenant }
