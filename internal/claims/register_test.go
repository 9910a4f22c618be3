package claims

import (
	"testing"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
)

func TestHomeHistory(t *testing.T) {
	// A keeper whose home changes to one with a disjoint majority must not grant until the old one is forgotten.
	verdictAfter := func(rules guards, wait time.Duration) verdict {
		w := newWorld(func(int) int { return 1 }, faults{guards: rules})
		k := w.keepers[0]
		k.tend()
		k.seeds = append([]cluster.Node{w.seeds[0]}, cluster.Node{Name: "node-8", Zone: "zone-1", HasDisk: true},
			cluster.Node{Name: "node-9", Zone: "zone-1", HasDisk: true})
		k.tend()
		w.clock.advance(wait)
		members := names(home(w.source.Current(), testPool, k.seeds))
		return k.claim(claimMessage{Key: modelKey, ID: "x", Members: members}, "zone-1").Verdict
	}
	if got := verdictAfter(allGuards, modelRetention); got != verdictAbstains {
		t.Errorf("right after the change: %s", got)
	}
	if got := verdictAfter(allGuards, modelRetention+homeMargin+time.Second); got != verdictGranted {
		t.Errorf("after the old home is forgotten: %s", got)
	}
	if got := verdictAfter(guards{noHomeHistory: true}, time.Second); got != verdictGranted {
		t.Errorf("without the rule: %s", got)
	}
	if majoritiesMeet([]string{"a", "b", "c"}, []string{"a", "b", "d"}) || !majoritiesMeet([]string{"a", "b"}, []string{"a", "b", "c"}) {
		t.Error("only sets that differ by one more or less meet")
	}
}

func TestLateStatements(t *testing.T) {
	now := time.Unix(1, 0)
	finished := Record{ID: "a", State: StateFinished, Stored: gateway.StoredOutcome{Outcome: v1.OutcomeUnknown}}
	for name, test := range map[string]struct {
		act  func(r *Register)
		want string
	}{
		"a release before its claim":            {func(r *Register) { r.Release(now, modelKey, "a"); r.Claim(now, modelKey, "a", 1) }, ""},
		"a renewal after the release":           {func(r *Register) { r.Release(now, modelKey, "a"); r.Learn(now, modelKey, heldRecord("a", 1)) }, ""},
		"a late renewal against another claim":  {func(r *Register) { r.Claim(now, modelKey, "b", 1); r.Learn(now, modelKey, heldRecord("a", 1)) }, "b"},
		"an outcome against a minority's claim": {func(r *Register) { r.Claim(now, modelKey, "b", 1); r.Learn(now, modelKey, finished) }, "a"},
		"a release of another claim":            {func(r *Register) { r.Claim(now, modelKey, "b", 1); r.Release(now, modelKey, "a") }, "b"},
		"a release after the outcome":           {func(r *Register) { r.Learn(now, modelKey, finished); r.Release(now, modelKey, "a") }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegister(Limits{Retention: time.Hour, MaxEntries: 10, MaxAnswerBytes: 1})
			test.act(r)
			got := ""
			if record, ok := r.lookup(now, modelKey); ok {
				got = record.ID
			}
			if got != test.want {
				t.Errorf("the key is held by %q, want %q", got, test.want)
			}
		})
	}
}
