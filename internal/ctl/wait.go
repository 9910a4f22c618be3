package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// waitPollInterval is the time between two reads of a resource that is waited for.
const waitPollInterval = 200 * time.Millisecond

// waitInForce waits until every resource is accepted and in force.
func waitInForce(ctx context.Context, client *client, items []item, timeout time.Duration) error {
	deadline, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, current := range items {
		missing, err := waitForOne(deadline, client, current)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			return fmt.Errorf("%s: not in force after %s: %s", current.id(), timeout, missing)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", current.id(), err)
		}
	}
	return nil
}

// waitForOne waits for one resource. With an error it returns what was missing when last read.
func waitForOne(ctx context.Context, client *client, current item) (string, error) {
	missing := "its status could not be read"
	for {
		object, err := client.get(ctx, current.object.ObjectKind(), current.object.Meta().Name)
		switch {
		case err == nil && object == nil:
			return missing, errors.New("was deleted")
		case err == nil:
			if missing = missingCondition(object); missing == "" {
				return "", nil
			}
		case ctx.Err() == nil && !mayRetry(current, err):
			return missing, err
		}
		select {
		case <-ctx.Done():
			return missing, ctx.Err()
		case <-time.After(waitPollInterval):
		}
	}
}

// missingCondition describes the first condition that keeps the resource from being in force, or returns "".
func missingCondition(object v1.Object) string {
	for _, wanted := range []v1.ConditionType{v1.ConditionAccepted, v1.ConditionInForce} {
		condition, found := findCondition(object, wanted)
		if !found || condition.ObservedGeneration < object.Meta().Generation {
			return fmt.Sprintf("%s is not yet reported", wanted)
		}
		if condition.Status != v1.ConditionTrue {
			return fmt.Sprintf("%s is %s: %s %s", wanted, condition.Status, condition.Reason, condition.Message)
		}
	}
	return ""
}

func findCondition(object v1.Object, wanted v1.ConditionType) (v1.Condition, bool) {
	for _, condition := range object.ObjectStatus().Conditions {
		if condition.Type == wanted {
			return condition, true
		}
	}
	return v1.Condition{}, false
}
