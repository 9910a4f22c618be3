package enginesim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/enginev1"
)

// output is what a sequence of calls told of one attempt, whatever the events that carried it.
type output struct {
	tokens   []string
	versions []int64
	final    string
	ended    time.Time
}

// drive makes the same calls at the same times; lazy advances at long intervals, else at every step.
func drive(seed uint64, lazy bool) map[string]*output {
	random := rand.New(rand.NewPCG(seed, 1))
	config := DefaultConfig()
	config.MaxRunning = 4
	engine := New(config, Identity{Name: "e", Zone: "z", Model: "m", Incarnation: "1"}, LoaderAtRate(1, 2))
	now := time.Unix(0, 0)
	outputs := map[string]*output{}
	take := func(at time.Time, events []enginev1.TokenEvent) {
		for _, event := range events {
			told := outputs[event.RequestID]
			if told == nil {
				told = &output{}
				outputs[event.RequestID] = told
			}
			for _, token := range event.Tokens {
				told.tokens = append(told.tokens, token)
				told.versions = append(told.versions, event.Version)
			}
			if event.Final != nil {
				told.final = event.Final.FinishReason + event.Final.Checksum
				told.ended = at
			}
		}
	}
	advance := func(until time.Time) {
		for {
			due, ok := engine.NextStep()
			if lazy {
				due, ok = engine.NextChange()
			}
			if !ok || due.After(until) {
				break
			}
			if lazy {
				take(due, engine.Advance(due))
			} else {
				take(due, engine.Step(due))
			}
		}
		if lazy {
			take(until, engine.Advance(until))
		}
	}
	for number := range 60 {
		now = now.Add(time.Duration(random.IntN(60_000)) * time.Microsecond)
		advance(now)
		id := fmt.Sprint(number)
		switch random.IntN(6) {
		case 0:
			order := enginev1.Order{Kind: enginev1.OrderPrepare, Fence: 1, Incarnation: "1", Version: int64(number + 2)}
			_, _, _ = engine.Order(now, order)
		case 1:
			for _, version := range engine.Load(now).PreparedVersions {
				order := enginev1.Order{Kind: enginev1.OrderActivate, Fence: 1, Incarnation: "1", Version: version}
				_, _, _ = engine.Order(now, order)
			}
		case 2:
			event, ok := engine.Cancel(now, enginev1.CancelRequest{RequestID: fmt.Sprint(number - 2)})
			if ok {
				take(now, []enginev1.TokenEvent{event})
			}
		default:
			engine.Submit(now, enginev1.CompletionRequest{
				Model: "m", RequestID: id, Incarnation: "1", Prompt: "prompt " + id, PermittedZones: []string{"z"},
				Priority: enginev1.Priority(random.IntN(2) * 10),
			})
		}
	}
	advance(now.Add(time.Hour))
	return outputs
}

func TestAdvanceTellsWhatSteppingTells(t *testing.T) {
	Convey("An engine that is advanced at its changes tells the same as one that is stepped", t, func() {
		for seed := range uint64(50) {
			So(drive(seed, true), ShouldResemble, drive(seed, false))
		}
	})
}
