package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/pause"
)

const (
	// answerPatience is how long a write waits for its answer before it is sent once more.
	answerPatience = 400 * time.Millisecond
	// maxAnswerPatience bounds the patience, which doubles with each attempt that had no answer.
	maxAnswerPatience = 2 * time.Second
)

// SettleCreate creates an object whose content no other writer shares, however many answers are lost, until ctx ends. own
// tells whether a stored object of that name is the caller's. It returns nil if the caller's object is stored, a
// *ConflictError if another's is, ErrNotDone if the object was never sent, or ErrUnknown.
func SettleCreate(ctx context.Context, client Client, kind string, object Object, own func(Object) bool) (Object, error) {
	return settle(ctx, client, kind, object.Name, own, func(ctx context.Context) (Object, error) {
		return client.Create(ctx, kind, object)
	})
}

// SettleReplace replaces an object on the condition of its revision, however many answers are lost, until ctx ends. A write
// whose answer was lost may meet itself: a *ConflictError then shows the caller's own content, which the caller compares. It
// returns ErrNotDone if the object was never sent, or ErrUnknown.
func SettleReplace(ctx context.Context, client Client, kind string, object Object) (Object, error) {
	none := func(Object) bool { return false }
	return settle(ctx, client, kind, object.Name, none, func(ctx context.Context) (Object, error) {
		return client.Replace(ctx, kind, object)
	})
}

// settle repeats a conditional write until its outcome is known or ctx ends.
func settle(ctx context.Context, client Client, kind, name string, own func(Object) bool,
	write func(ctx context.Context) (Object, error)) (Object, error) {
	patience := answerPatience
	sent := false
	for {
		stored, err := once(ctx, client, kind, name, patience, write)
		var conflict *ConflictError
		switch {
		case err == nil:
			return stored, nil
		case errors.As(err, &conflict) && own(conflict.Current):
			return conflict.Current, nil
		case errors.As(err, &conflict), errors.Is(err, ErrInvalid), errors.Is(err, ErrNotFound):
			return Object{}, err
		case errors.Is(err, ErrNotDone):
			pause.For(ctx, retryPause)
		default:
			sent = true
			patience = min(2*patience, maxAnswerPatience)
		}
		if ctx.Err() == nil {
			continue
		}
		if sent {
			return Object{}, ErrUnknown
		}
		return Object{}, ErrNotDone
	}
}

// once makes one attempt. A conflict that came without the object is completed by reading it.
func once(ctx context.Context, client Client, kind, name string, patience time.Duration,
	write func(ctx context.Context) (Object, error)) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	stored, err := write(ctx)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Name != "" {
		return stored, err
	}
	current, err := client.Get(ctx, kind, name)
	if err != nil {
		return Object{}, ErrUnknown
	}
	return Object{}, &ConflictError{Current: current}
}
