package leadership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/cluster"
)

// drawAnswers draws answers to some of the asks, granted or not, in any order.
func drawAnswers(t *rapid.T, asks []lease.Ask) []lease.Answer {
	var answers []lease.Answer
	for _, ask := range rapid.Permutation(asks).Draw(t, "order") {
		answer := grantOf(ask)
		switch rapid.IntRange(0, 3).Draw(t, "verdict") {
		case 0:
			answer.Verdict, answer.Holder, answer.Remaining = lease.RefusedHeld, "other", time.Second
		case 1:
			answer.Round++ // of another ask
		case 2:
			continue
		}
		answers = append(answers, answer)
	}
	return answers
}

func TestRepliesCrossTheWireWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := voterset.New(3, "v", "w")
		request := lease.Message{From: "c", To: "v", Set: set}
		for at := range rapid.IntRange(0, 70).Draw(t, "asks") {
			request.Asks = append(request.Asks, lease.Ask{Name: "n", Token: 7, Round: uint64(2 * at)})
		}
		reply := lease.Message{From: "v", To: "c", Set: set, Answers: drawAnswers(t, request.Asks)}
		if rapid.Bool().Draw(t, "another set") {
			reply.Set = voterset.New(4, "v")
		}
		stripped, granted := stripReply(request, []lease.Message{reply})
		got := make(map[lease.Answer]int)
		for _, message := range restoreReply(request, stripped, granted) {
			if message.From != "v" || message.To != "c" || !message.Set.Equal(reply.Set) {
				t.Fatalf("restored as %+v", message)
			}
			for _, answer := range message.Answers {
				got[answer]++
			}
		}
		if len(got) != len(reply.Answers) {
			t.Fatalf("%d answers, restored %d", len(reply.Answers), len(got))
		}
		for _, answer := range reply.Answers {
			if got[answer] != 1 {
				t.Fatalf("%+v restored %d times", answer, got[answer])
			}
		}
	})
}

func TestIntroductionDigests(t *testing.T) {
	Convey("Whatever differs between two introductions, their digests differ", t, func() {
		base := introduction{
			Zones: []string{"a", "b"}, From: cluster.Node{Name: "n", Zone: "a", Address: "x:1"}, Incarnation: 1,
			Set: voterset.New(1, "v", "w"), Length: time.Second,
		}
		changes := map[string]func(*introduction){
			"zones":       func(i *introduction) { i.Zones = []string{"ab"} },
			"address":     func(i *introduction) { i.From.Address = "x:2" },
			"disk":        func(i *introduction) { i.From.HasDisk = true },
			"incarnation": func(i *introduction) { i.Incarnation = 2 },
			"set number":  func(i *introduction) { i.Set = voterset.New(2, "v", "w") },
			"members":     func(i *introduction) { i.Set = voterset.New(1, "v", "x") },
			"length":      func(i *introduction) { i.Length = 2 * time.Second },
		}
		for name, change := range changes {
			Convey(name, func() {
				other := base
				change(&other)
				So(other.digest(), ShouldNotEqual, base.digest())
			})
		}
	})
}

func TestHolderAtANewAddress(t *testing.T) {
	Convey("A node that knows an old address of a holder takes that of a voter's reply for wrong", t, func() {
		e := &LeaseElector{peers: make(map[string]cluster.Node)}
		moved := cluster.Node{Name: "h", Address: "x:2"}
		e.learn(cluster.Node{Name: "h", Address: "x:1"})
		reply := exchangeReply{
			Messages: []lease.Message{{Sightings: []lease.Sighting{{Name: "n", Holder: "h"}}}},
			Sums:     []uint64{nodeSum(moved)},
		}
		So(e.unknown(reply), ShouldResemble, []string{"h"})
		e.learn(moved)
		So(e.unknown(reply), ShouldBeEmpty)
	})
}
