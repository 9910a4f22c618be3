// Package batch defines batch jobs, which are sets of requests submitted together and run asynchronously, and their results, each of which has a
// position.
package batch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Job is a batch job as submitted.
type Job struct {
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Tenant is the owner of the job; empty if it has none. Only callers of the same tenant can see it.
	Tenant string
	// Step is the trainer's step number.
	Step  int64
	Model string
	// MinVersion is the oldest weight version that may produce a result.
	MinVersion int64
	// Desired is the number of complete groups that the trainer waits for.
	Desired int
	Items   []Item
	// Regions are the region sets that bound the job when it was accepted: a region must be in each of them. RewardRegions bound its reward calls.
	// Empty sets are left out. Both are empty in jobs accepted by older versions.
	Regions       [][]string
	RewardRegions [][]string
}

// Item is one request of a job.
type Item struct {
	ID   string
	Path string
	// Header holds the header fields that are sent to the engine.
	Header map[string]string
	Body   []byte
	// Tokens is the prompt length plus the maximum output length, in tokens.
	Tokens int
	// Group identifies items with the same prompt.
	Group string
	// Prefix identifies the shared parts of the prompt.
	Prefix string
	// ExpectedLength is the caller's estimate of the output length in tokens; zero if it gave none.
	ExpectedLength int
	Reward         *Reward
}

// Reward is the call that scores an item's text.
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
	// Done means that the text is complete.
	Done State = iota
	// Dead means that the item was abandoned.
	Dead
)

// Result is the final state of an item.
type Result struct {
	ID    string
	State State
	// Text holds the data of all events in order, separated by line feeds.
	Text string
	// Versions are the weight versions that produced the text, in ascending order.
	Versions []int64
	Score    string
}

// ResultPage is a page of a job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int
	// Results are those from the requested position on.
	Results []Result
	// Next is the position after the last result.
	Next int
}

var (
	// ErrNotFound reports that the job or item does not exist.
	ErrNotFound = errors.New("batch: no such job or item")
	// ErrRefused reports a call that was not carried out and never will be.
	ErrRefused = errors.New("batch: call refused")
	// ErrFull is an ErrRefused: there is no room for the job until another has ended.
	ErrFull = fmt.Errorf("%w: no room for the job", ErrRefused)
	// ErrExcluded is an ErrRefused: the job's bounds exclude the region of the coordinator.
	ErrExcluded = fmt.Errorf("%w: job excludes the coordinator's region", ErrRefused)
	// ErrUnavailable reports a call whose outcome is unknown or that cannot be answered now.
	ErrUnavailable = errors.New("batch: service unavailable or outcome unknown")
)

// Service manages batch jobs. Every method may return ErrUnavailable.
type Service interface {
	// Submit returns nil once the job is stored durably; submitting a stored job again has no effect. It returns ErrRefused if the job is not
	// stored and never will be, or if its ID belongs to another tenant's job.
	Submit(ctx context.Context, job Job) error
	// Read returns results from a position on, waiting up to wait for at least one. ErrNotFound if the job does not exist.
	Read(ctx context.Context, ref Ref, position int, wait time.Duration) (ResultPage, error)
	// Body returns the body of an item that has no result yet. ErrNotFound if there is none.
	Body(ctx context.Context, ref Ref, item string) ([]byte, error)
	// End ends a job; ending it again has no effect. ErrNotFound if the job does not exist.
	End(ctx context.Context, ref Ref) error
}

// Ref identifies a job in a call.
type Ref struct {
	ID string
	// Tenant is the caller's tenant; empty if it has none.
	Tenant string
}

// VisibleTo reports whether a caller of a tenant may see the job. To other callers it is ErrNotFound.
func (j *Job) VisibleTo(tenant string) bool { return j.Tenant == "" || j.Tenant == tenant }

// itemBytes is what an item takes in memory beyond its content.
const itemBytes = 1 << 10

// Size returns about what an item takes in memory, in bytes.
func (i *Item) Size() int64 {
	size := itemBytes + len(i.Body) + len(i.Path) + len(i.Prefix)
	for name, value := range i.Header {
		size += len(name) + len(value)
	}
	if i.Reward != nil {
		size += len(i.Reward.Body) + len(i.Reward.Path)
	}
	return int64(size)
}

// SizeOf returns about what items take in memory, in bytes.
func SizeOf(items []Item) int64 {
	size := int64(0)
	for i := range items {
		size += items[i].Size()
	}
	return size
}
