package lease_test

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/coord/voterset"
)

// A group of three voters and one candidate, in one goroutine and in virtual time. Messages are delivered at once; a
// real caller sends them over its own transport.
func Example() {
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	at := func(elapsed time.Duration) lease.Instant {
		return lease.Instant{Monotonic: elapsed, Wall: start.Add(elapsed)}
	}
	const length = time.Second
	set := voterset.New(1, "a", "b", "c")
	voters := make(map[string]*lease.Voter)
	for index, name := range set.Members {
		config := lease.Config{Name: name, Incarnation: uint64(index + 1), Length: length}
		voter, err := lease.NewVoter(config, set, at(0))
		if err != nil {
			fmt.Println(err)
			return
		}
		voters[name] = voter
	}
	candidate, err := lease.NewCandidate(lease.Config{Name: "worker", Incarnation: 9, Length: length}, set)
	if err != nil {
		fmt.Println(err)
		return
	}
	exchange := func(now lease.Instant, messages []lease.Message) {
		for _, message := range messages {
			for _, answer := range voters[message.To].Step(now, message) {
				candidate.Step(now, answer)
			}
		}
	}

	// Voters that have just started grant nothing for one length.
	candidate.Campaign(at(0), "job", 0)
	var held bool
	for elapsed := time.Duration(0); elapsed < 5*length && !held; elapsed += 10 * time.Millisecond {
		exchange(at(elapsed), candidate.Tick(at(elapsed)))
		_, held = candidate.Held(at(elapsed), "job")
	}
	fmt.Println("held:", held)

	// A holder that stood still for longer than the lease knows that it has lost it, whatever it believed before.
	_, held = candidate.Held(at(time.Hour), "job")
	fmt.Println("held after a pause:", held)
	// Output:
	// held: true
	// held after a pause: false
}
