package quorumlog_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/covelink/covelink/coord/quorumlog"
)

// A log on three replicas in one process: a writer appends, is lost, and the writer of the next epoch recovers what was
// committed and fences the first.
func Example() {
	names := []string{"a", "b", "c"}
	replicas := make(map[string]*quorumlog.Replica)
	for index, name := range names {
		replica, err := quorumlog.NewReplica(&quorumlog.MemoryStorage{}, uint64(index+1))
		if err != nil {
			fmt.Println(err)
			return
		}
		replicas[name] = replica
	}
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	exchange := func(writer *quorumlog.Writer) {
		for messages := writer.Outgoing(); len(messages) > 0; messages = writer.Outgoing() {
			for _, message := range messages {
				writer.Step(now, message.To, replicas[message.To].Step(message.Request))
			}
		}
	}
	open := func(token uint64) *quorumlog.Writer {
		writer := quorumlog.NewWriter(now, quorumlog.Config{
			Epoch:      quorumlog.Epoch{Token: token},
			Candidates: names,
			Replicas:   len(names),
			Create:     true,
			Patience:   time.Second,
			RetryAfter: 100 * time.Millisecond,
		})
		exchange(writer)
		return writer
	}

	first := open(1)
	index, err := first.Append(now, []byte("one"), []byte("two"))
	exchange(first)
	fmt.Println("committed:", err == nil && first.Committed() >= index)

	second := open(2)
	_, data := second.Recovered()
	fmt.Printf("recovered: %s\n", data)

	if _, err := first.Append(now, []byte("three")); err != nil {
		fmt.Println(err)
		return
	}
	exchange(first)
	fmt.Println("first writer fenced:", errors.Is(first.Err(), quorumlog.ErrFenced))
	// Output:
	// committed: true
	// recovered: [one two]
	// first writer fenced: true
}
