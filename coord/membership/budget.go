package membership

import "time"

// outbox collects messages to send.
type outbox struct{ messages []Outgoing }

func (o *outbox) add(to Member, message Message) {
	o.messages = append(o.messages, Outgoing{To: to.Name, Address: to.Address, Message: message})
}

// budget is a token bucket of bytes. It may be overdrawn by one message.
type budget struct {
	rate   float64
	tokens float64
	at     time.Time
}

func (b *budget) allows(now time.Time) bool {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), burstSeconds*b.rate)
	b.at = now
	return b.tokens > 0
}

func (b *budget) spend(records []Record) {
	b.tokens -= messageOverheadBytes
	for _, record := range records {
		b.tokens -= float64(recordBytes(record))
	}
}
