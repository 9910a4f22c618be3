package claims

import (
	"testing"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
)

func TestHomeHistory(t *testing.T) {
	// After a change to a keeper set with a disjoint majority, a keeper must not grant until the old set expires.
	verdictAfter := func(rules guards, wait time.Duration) verdict {
		w := newSimulation(func(int) int { return 1 }, faults{guards: rules})
		k := w.keepers[0]
		k.maintain()
		k.seeds = append([]cluster.Node{w.seeds[0]}, cluster.Node{Name: "node-8", Zone: "zone-1", HasDisk: true},
			cluster.Node{Name: "node-9", Zone: "zone-1", HasDisk: true})
		k.maintain()
		w.clock.advance(wait)
		members := names(keeperSet(w.source.Current(), testPool, k.seeds))
		return k.claim(claimMessage{Key: modelKey, ID: "x", Members: members}, "zone-1").Verdict
	}
	if got := verdictAfter(allGuards, modelRetention); got != verdictAbstains {
		t.Errorf("immediately after the change: got verdict %s", got)
	}
	if got := verdictAfter(allGuards, modelRetention+keeperSetMargin+time.Second); got != verdictGranted {
		t.Errorf("after the old keeper set expired: got verdict %s", got)
	}
	if got := verdictAfter(guards{noKeeperSetHistory: true}, time.Second); got != verdictGranted {
		t.Errorf("with the rule disabled: got verdict %s", got)
	}
	if majoritiesIntersect([]string{"a", "b", "c"}, []string{"a", "b", "d"}) || !majoritiesIntersect([]string{"a", "b"}, []string{"a", "b", "c"}) {
		t.Error("majorities must intersect if one member is added or removed, and not if one is replaced")
	}
}

func TestDelayedMessages(t *testing.T) {
	now := time.Unix(1, 0)
	finished := Record{ID: "a", State: StateFinished, Stored: gateway.StoredOutcome{Outcome: v1.OutcomeUnknown}}
	for name, test := range map[string]struct {
		act  func(r *Table)
		want string
	}{
		"release before its claim":              {func(r *Table) { r.Release(now, modelKey, "a"); r.Claim(now, modelKey, "a", 1) }, ""},
		"renewal after the release":             {func(r *Table) { r.Release(now, modelKey, "a"); r.Update(now, modelKey, runningRecord("a", 1)) }, ""},
		"delayed renewal against another claim": {func(r *Table) { r.Claim(now, modelKey, "b", 1); r.Update(now, modelKey, runningRecord("a", 1)) }, "b"},
		"outcome against a claim of a minority": {func(r *Table) { r.Claim(now, modelKey, "b", 1); r.Update(now, modelKey, finished) }, "a"},
		"release of another claim":              {func(r *Table) { r.Claim(now, modelKey, "b", 1); r.Release(now, modelKey, "a") }, "b"},
		"release after the outcome":             {func(r *Table) { r.Update(now, modelKey, finished); r.Release(now, modelKey, "a") }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewTable(Limits{Retention: time.Hour, MaxEntries: 10, MaxAnswerBytes: 1})
			test.act(r)
			got := ""
			if record, ok := r.lookup(now, modelKey); ok {
				got = record.ID
			}
			if got != test.want {
				t.Errorf("key is held by %q, want %q", got, test.want)
			}
		})
	}
}
