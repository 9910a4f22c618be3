package lease

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// The voters of the benchmarks, of which the first holds all leases, and the candidates beside them that wait.
const (
	benchmarkVoters  = 5
	benchmarkWaiters = 2
	benchmarkSeconds = 30
)

// BenchmarkHeldLeases measures, in virtual time, what it costs to keep leases among five voters: messages between
// processes, and their bytes in one gob stream for each pair, per second: of all for each lease, and for all leases what the
// holder sends as such, each waiting candidate as such, and each voter as such. What one kind sends another receives.
func BenchmarkHeldLeases(b *testing.B) {
	for _, leases := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			var cost holdingCost
			for range b.N {
				cost = costOfHolding(leases)
			}
			all := cost.holder.plus(cost.waiters).plus(cost.voters)
			b.ReportMetric(all.messages/float64(leases), "msgs/s/lease")
			b.ReportMetric(all.bytes/float64(leases), "B/s/lease")
			b.ReportMetric(cost.holder.bytes, "holder-B/s")
			b.ReportMetric(cost.waiters.bytes/benchmarkWaiters, "waiter-B/s")
			b.ReportMetric(cost.voters.bytes/benchmarkVoters, "voter-B/s")
		})
	}
}

// rate is a traffic a second.
type rate struct{ messages, bytes float64 }

func (r rate) plus(other rate) rate { return rate{r.messages + other.messages, r.bytes + other.bytes} }

// holdingCost is what the kinds of processes send.
type holdingCost struct{ holder, waiters, voters rate }

func (c *holdingCost) of(message Message, holder string) *rate {
	switch {
	case len(message.Asks)+len(message.Releases) == 0:
		return &c.voters
	case message.From == holder:
		return &c.holder
	}
	return &c.waiters
}

// holdLeases runs until one process holds all leases and others wait for them.
func holdLeases(seed uint64, leases int) *simulation {
	var names []string
	for index := range leases {
		names = append(names, fmt.Sprintf("trainer/benchmark-%d", index))
	}
	s := newSimulation(seed, benchmarkVoters, names...)
	s.addOutsiders(benchmarkWaiters)
	for index, p := range s.processes {
		for _, name := range names {
			p.ranks[name] = index
			if index >= benchmarkVoters {
				p.ranks[name] -= benchmarkVoters - 1
			}
		}
	}
	s.start()
	for _, p := range s.processes[1:benchmarkVoters] {
		for _, name := range names {
			p.candidate.Withdraw(name, "")
		}
	}
	s.run(5 * time.Second)
	return s
}

// costOfHolding returns the cost while one process holds all leases and two others wait for them.
func costOfHolding(leases int) (cost holdingCost) {
	s := holdLeases(1, leases)
	holder, _ := s.holder(s.names[0])
	links := make(map[string]*countedStream)
	s.onSend = func(message Message) {
		if message.From == message.To {
			return
		}
		key := message.From + ">" + message.To
		if links[key] == nil {
			links[key] = newCountedStream()
		}
		size := links[key].write(message)
		sent := cost.of(message, holder.name)
		*sent = sent.plus(rate{1 / float64(benchmarkSeconds), float64(size) / benchmarkSeconds})
	}
	s.run(benchmarkSeconds * time.Second)
	return cost
}

// BenchmarkTakeOver measures, in virtual time, how long a lease is without a holder after its holder has died, of 200 seeds.
func BenchmarkTakeOver(b *testing.B) {
	const seeds = 200
	var total, longest time.Duration
	for range b.N {
		total, longest = 0, 0
		for seed := range uint64(seeds) {
			took := takeOver(seed)
			total += took
			longest = max(longest, took)
		}
	}
	b.ReportMetric(float64(total.Milliseconds())/seeds, "mean-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// takeOver returns the time from the death of a holder to the next one.
func takeOver(seed uint64) time.Duration {
	s := holdLeases(seed, 1)
	s.run(time.Duration(s.rand.Int64N(int64(simLength))))
	dead, _ := s.holder(s.names[0])
	s.crash(dead)
	died := s.now
	for len(s.holders(s.names[0])) == 0 && s.now < died+10*simLength {
		s.run(simStep)
	}
	return s.now - died
}

type countedStream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newCountedStream() *countedStream {
	stream := &countedStream{}
	stream.encoder = gob.NewEncoder(&stream.buffer)
	return stream
}

// write returns the bytes that the message takes.
func (c *countedStream) write(message Message) int {
	c.buffer.Reset()
	if err := c.encoder.Encode(message); err != nil {
		panic(err)
	}
	return c.buffer.Len()
}
