package metastore

import (
	"context"
	"errors"
	"time"
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
	patience := answerPatience
	sent := false
	for {
		stored, err := createOnce(ctx, client, kind, object, patience)
		var conflict *ConflictError
		switch {
		case err == nil:
			return stored, nil
		case errors.As(err, &conflict) && own(conflict.Current):
			return conflict.Current, nil
		case errors.As(err, &conflict), errors.Is(err, ErrInvalid):
			return Object{}, err
		case !errors.Is(err, ErrNotDone):
			sent = true
			patience = min(2*patience, maxAnswerPatience)
		default:
			pause(ctx, retryPause)
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

func createOnce(ctx context.Context, client Client, kind string, object Object, patience time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	stored, err := client.Create(ctx, kind, object)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Name != "" {
		return stored, err
	}
	current, err := client.Get(ctx, kind, object.Name)
	if err != nil {
		return Object{}, ErrUnknown
	}
	return Object{}, &ConflictError{Current: current}
}
