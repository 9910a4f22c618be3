package configsync

import (
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// conditionKey identifies one condition of one resource.
type conditionKey struct {
	ObjectKey
	condition v1.ConditionType
}

// transition is a status and when the node saw it taken.
type transition struct {
	status v1.ConditionStatus
	at     time.Time
}

// transitions is when this node saw each condition take its status. Nodes see a change at slightly different times, and one
// that has started anew counts from then. A map that has been handed out is never changed.
type transitions map[conditionKey]transition

// next returns the transitions as of a newer observation.
func (t transitions) next(seen observation, now time.Time) transitions {
	updated := make(transitions, len(t))
	for key, object := range seen.index.objects {
		for _, condition := range seen.conditions(object) {
			held := conditionKey{ObjectKey: key, condition: condition.Type}
			known, ok := t[held]
			if !ok || known.status != condition.Status {
				known = transition{status: condition.Status, at: now}
			}
			updated[held] = known
		}
	}
	return updated
}

// at returns when the condition took its status; the zero time if the node has not seen that yet.
func (t transitions) at(object v1.Object, condition v1.Condition) time.Time {
	key := ObjectKey{Kind: object.ObjectKind(), Name: object.Meta().Name}
	known := t[conditionKey{ObjectKey: key, condition: condition.Type}]
	if known.status != condition.Status {
		return time.Time{}
	}
	return known.at
}
