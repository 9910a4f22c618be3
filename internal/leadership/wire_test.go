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

// drawAnswers draws answers to a random subset of the asks, granted or refused, in random order.
func drawAnswers(t *rapid.T, asks []lease.Ask) []lease.Answer {
	var answers []lease.Answer
	for _, ask := range rapid.Permutation(asks).Draw(t, "order") {
		answer := plainGrant(ask)
		switch rapid.IntRange(0, 3).Draw(t, "verdict") {
		case 0:
			answer.Verdict, answer.Holder, answer.Remaining = lease.RefusedHeld, "other", time.Second
		case 1:
			answer.Round++ // matches no ask
		case 2:
			continue
		}
		answers = append(answers, answer)
	}
	return answers
}

func TestStripReplyRoundTrip(t *testing.T) {
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
				t.Fatalf("restored message has wrong envelope: %+v", message)
			}
			for _, answer := range message.Answers {
				got[answer]++
			}
		}
		if len(got) != len(reply.Answers) {
			t.Fatalf("reply has %d answers, but %d were restored", len(reply.Answers), len(got))
		}
		for _, answer := range reply.Answers {
			if got[answer] != 1 {
				t.Fatalf("answer %+v was restored %d times, want once", answer, got[answer])
			}
		}
	})
}

func TestHeaderDigests(t *testing.T) {
	Convey("Headers that differ in any field have different digests", t, func() {
		base := messageHeader{
			Zones: []string{"a", "b"}, From: cluster.Node{Name: "n", Zone: "a", Address: "x:1"}, Incarnation: 1,
			Set: voterset.New(1, "v", "w"), Length: time.Second,
		}
		changes := map[string]func(*messageHeader){
			"zones":       func(i *messageHeader) { i.Zones = []string{"ab"} },
			"address":     func(i *messageHeader) { i.From.Address = "x:2" },
			"disk":        func(i *messageHeader) { i.From.HasDisk = true },
			"incarnation": func(i *messageHeader) { i.Incarnation = 2 },
			"set number":  func(i *messageHeader) { i.Set = voterset.New(2, "v", "w") },
			"members":     func(i *messageHeader) { i.Set = voterset.New(1, "v", "x") },
			"length":      func(i *messageHeader) { i.Length = 2 * time.Second },
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

func TestHolderAddressChange(t *testing.T) {
	Convey("A holder whose cached address differs from the replying voter's is resolved again", t, func() {
		e := &LeaseElector{peers: make(map[string]cluster.Node)}
		moved := cluster.Node{Name: "h", Address: "x:2"}
		e.cachePeer(cluster.Node{Name: "h", Address: "x:1"})
		reply := exchangeReply{
			Messages: []lease.Message{{Sightings: []lease.Sighting{{Name: "n", Holder: "h"}}}},
			Sums:     []uint64{nodeChecksum(moved)},
		}
		So(e.unresolvedHolders(reply), ShouldResemble, []string{"h"})
		e.cachePeer(moved)
		So(e.unresolvedHolders(reply), ShouldBeEmpty)
	})
}
