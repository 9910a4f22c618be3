package lease

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeldLeases measures, in virtual time, what it costs to keep leases among five voters: messages between
// processes, and their bytes in one gob stream for each pair, per second and lease.
func BenchmarkHeldLeases(b *testing.B) {
	for _, leases := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			var messages, size float64
			for range b.N {
				messages, size = costOfHolding(leases)
			}
			b.ReportMetric(messages/float64(leases), "msgs/s/lease")
			b.ReportMetric(size/float64(leases), "B/s/lease")
		})
	}
}

// costOfHolding returns messages and bytes a second while one process holds all leases and two others wait for them.
func costOfHolding(leases int) (messages, size float64) {
	const seconds = 30
	var names []string
	for index := range leases {
		names = append(names, fmt.Sprintf("trainer/benchmark-%d", index))
	}
	s := newSimulation(1, 5, names...)
	for index, p := range s.processes {
		for _, name := range names {
			p.ranks[name] = index
		}
	}
	s.start()
	for _, p := range s.processes[3:] {
		for _, name := range names {
			p.candidate.Withdraw(name, "")
		}
	}
	s.run(5 * time.Second)
	links := make(map[string]*countedStream)
	s.onSend = func(message Message) {
		if message.From == message.To {
			return
		}
		key := message.From + ">" + message.To
		if links[key] == nil {
			links[key] = newCountedStream()
		}
		links[key].write(message)
	}
	s.run(seconds * time.Second)
	for _, link := range links {
		messages += float64(link.messages)
		size += float64(link.buffer.Len())
	}
	return messages / seconds, size / seconds
}

type countedStream struct {
	buffer   bytes.Buffer
	encoder  *gob.Encoder
	messages int
}

func newCountedStream() *countedStream {
	stream := &countedStream{}
	stream.encoder = gob.NewEncoder(&stream.buffer)
	return stream
}

func (c *countedStream) write(message Message) {
	c.messages++
	if err := c.encoder.Encode(message); err != nil {
		panic(err)
	}
}
