package claims

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
)

const (
	modelRetention = 100 * time.Second
	modelSteps     = 160
	modelWindow    = 2 * time.Second
)

var modelKey = Key{Caller: "app", Pool: testPool, Key: "k"}

// faults configures a schedule.
type faults struct {
	guards guards
	// sendBeforeClaim lets a claimant run before its claim is granted.
	sendBeforeClaim bool
	// exceedsRetention lets a schedule exceed the retention time.
	exceedsRetention bool
}

// packet is a request or a reply in flight.
type packet struct {
	to       int
	sent     time.Time
	claim    *claimMessage
	learn    *learnMessage
	release  *releaseMessage
	claimant *modelClaimant
	reply    *claimReply
}

// modelClaimant is a claim attempt of one gateway.
type modelClaimant struct {
	id      string
	votes   *voteCounter
	started time.Time
	replied map[int]bool
	decided bool
	// ran: a byte may have reached an engine. ended: the run ended or its gateway failed.
	ran      bool
	ended    bool
	released bool
	call     int64
}

// simulation models keepers and claimants of one key on a network that loses, repeats, delays and reorders messages.
type simulation struct {
	pick      func(n int) int
	faults    faults
	clock     *fakeClock
	source    *cluster.Holder
	seeds     []cluster.Node
	keepers   []*keeper
	down      []bool
	packets   []packet
	claimants []*modelClaimant
	history   []porcupine.Operation
	tick      int64
	violation string
}

func newSimulation(pick func(n int) int, injected faults) *simulation {
	w := &simulation{pick: pick, faults: injected, clock: newClock(), source: cluster.NewHolder()}
	w.source.Update(func(*cluster.View) *cluster.View { return viewOf("zone-1") })
	count := 2 + pick(4)
	for index := range count {
		w.seeds = append(w.seeds, cluster.Node{Name: fmt.Sprint("node-", index), Zone: "zone-1", HasDisk: true})
	}
	for index := range count {
		w.keepers = append(w.keepers, w.newKeeper(index))
		w.keepers[index].tableComplete = true
	}
	w.down = make([]bool, count)
	return w
}

func (w *simulation) newKeeper(index int) *keeper {
	limits := Limits{Retention: modelRetention, MaxEntries: 1000, MaxAnswerBytes: 1 << 20}
	table := NewTable(limits)
	table.guards = w.faults.guards
	return &keeper{self: w.seeds[index], source: w.source, seeds: w.seeds, limits: limits, guards: w.faults.guards,
		now: w.clock.Now, table: table, history: make(keeperSetHistory), started: w.clock.Now()}
}

// run takes modelSteps random steps, or stops at a violation.
func (w *simulation) run() {
	for range modelSteps {
		w.tick++
		w.step()
		if w.violation != "" {
			return
		}
	}
	w.deliverAll()
}

func (w *simulation) step() {
	switch w.pick(14) {
	case 0:
		w.startClaimant()
	case 1, 2:
		w.finishOne()
	case 3:
		w.crash()
	case 4:
		w.recover()
	case 5:
		w.advanceTime()
	case 6:
		w.dropPacket()
	default:
		w.deliver(w.pick(4) == 0)
	}
	w.expire()
}

func (w *simulation) startClaimant() {
	if len(w.claimants) >= 8 {
		return
	}
	c := &modelClaimant{id: fmt.Sprint("claim-", len(w.claimants)), started: w.clock.Now(), replied: make(map[int]bool), call: w.tick}
	c.votes = newVoteCounter(len(w.keepers), w.faults.guards)
	w.claimants = append(w.claimants, c)
	if w.faults.sendBeforeClaim {
		w.markRan(c)
	}
	message := &claimMessage{Key: modelKey, ID: c.id, Members: names(keeperSet(w.source.Current(), testPool, w.seeds))}
	for index := range w.keepers {
		w.packets = append(w.packets, packet{to: index, sent: w.clock.Now(), claim: message, claimant: c})
	}
}

// markRan marks a claim as run and records a violation if another one ran within the retention time.
func (w *simulation) markRan(c *modelClaimant) {
	for _, other := range w.claimants {
		if other != c && other.ran && c.started.Sub(other.started) < modelRetention-modelWindow {
			w.violation = fmt.Sprintf("%s and %s both ran", other.id, c.id)
		}
	}
	c.ran = true
}

// deliver delivers a random packet; with again it stays in flight, to be delivered once more.
func (w *simulation) deliver(again bool) {
	if len(w.packets) == 0 {
		return
	}
	index := w.pick(len(w.packets))
	p := w.packets[index]
	if p.reply == nil && w.down[p.to] {
		return
	}
	if !again {
		w.packets = append(w.packets[:index:index], w.packets[index+1:]...)
	}
	w.handle(p)
}

func (w *simulation) handle(p packet) {
	switch {
	case p.reply != nil:
		w.handleReply(p)
	case p.claim != nil:
		reply := w.keepers[p.to].claim(*p.claim, "zone-1")
		w.packets = append(w.packets, packet{to: p.to, sent: w.clock.Now(), reply: &reply, claimant: p.claimant})
	case p.learn != nil:
		w.keepers[p.to].update(*p.learn, "zone-1")
	case p.release != nil:
		w.keepers[p.to].release(*p.release)
	}
}

func (w *simulation) handleReply(p packet) {
	c := p.claimant
	if c.decided || c.replied[p.to] {
		return
	}
	c.replied[p.to] = true
	c.votes.add(*p.reply, false)
	w.decide(c)
}

// decide acts on the vote as Manager does.
func (w *simulation) decide(c *modelClaimant) {
	outcome := c.votes.result()
	if outcome == resultOpen {
		return
	}
	c.decided = true
	w.recordOperation(c.call, w.tick, modelInput{kind: inputClaim, id: c.id}, modelOutput{result: outcome, holder: c.votes.existingRecord.ID,
		text: textOf(c.votes.existingRecord.Stored.Answer)})
	if outcome == resultGranted {
		w.markRan(c)
		return
	}
	w.release(c)
}

func textOf(answer *gateway.StoredAnswer) string {
	if answer == nil {
		return ""
	}
	return answer.Tokens[0]
}

// finishOne ends a granted claim: completed, not run, or its gateway fails.
func (w *simulation) finishOne() {
	if len(w.claimants) == 0 {
		return
	}
	c := w.claimants[w.pick(len(w.claimants))]
	if !c.decided || !c.ran || c.ended {
		return
	}
	c.ended = true
	switch w.pick(3) {
	case 0:
		c.ran = false
		w.recordOperation(w.tick, modelEnd, modelInput{kind: inputRelease, id: c.id}, modelOutput{})
		w.release(c)
	case 1:
		record := Record{ID: c.id, State: StateFinished, Stored: completedWith("answer of " + c.id)}
		w.recordOperation(w.tick, modelEnd, modelInput{kind: inputFinish, id: c.id}, modelOutput{})
		w.sendToKeepers(packet{learn: &learnMessage{Key: modelKey, Record: record}})
	}
}

func (w *simulation) release(c *modelClaimant) {
	c.released = true
	w.sendToKeepers(packet{release: &releaseMessage{Key: modelKey, ID: c.id}})
}

func (w *simulation) sendToKeepers(p packet) {
	for index := range w.keepers {
		p.to, p.sent = index, w.clock.Now()
		w.packets = append(w.packets, p)
	}
}

// crash stops a keeper.
func (w *simulation) crash() { w.down[w.pick(len(w.keepers))] = true }

// recover restarts a stopped keeper, with or without its table.
func (w *simulation) recover() {
	index := w.pick(len(w.keepers))
	if !w.down[index] {
		return
	}
	w.down[index] = false
	if w.pick(2) == 0 {
		w.keepers[index] = w.newKeeper(index)
	}
}

func (w *simulation) advanceTime() {
	by := modelWindow / 8
	if w.faults.exceedsRetention {
		by = modelRetention / time.Duration(2+w.pick(20))
	}
	w.clock.advance(by)
	for index, k := range w.keepers {
		if !w.down[index] {
			k.maintain()
		}
	}
}

// dropPacket drops a random packet unless it is a release, since releases are retried until they arrive.
func (w *simulation) dropPacket() {
	if len(w.packets) == 0 {
		return
	}
	index := w.pick(len(w.packets))
	if w.packets[index].release == nil {
		w.packets = append(w.packets[:index:index], w.packets[index+1:]...)
	}
}

// expire closes the votes whose claim window has ended and drops packets close to the retention time.
func (w *simulation) expire() {
	now := w.clock.Now()
	for _, c := range w.claimants {
		if !c.decided && now.Sub(c.started) >= modelWindow {
			c.votes.closeVoting()
			w.decide(c)
		}
	}
	var remaining []packet
	for _, p := range w.packets {
		if now.Sub(p.sent) < modelRetention-modelWindow {
			remaining = append(remaining, p)
		}
	}
	w.packets = remaining
}

// deliverAll delivers all packets. If every claim was released and none ran, the key must be free at every keeper.
func (w *simulation) deliverAll() {
	for index := range w.down {
		w.down[index] = false
	}
	w.clock.advance(modelWindow)
	for w.expire(); len(w.packets) > 0; w.expire() {
		w.deliver(false)
	}
	for _, c := range w.claimants {
		if c.ran || !c.released {
			return
		}
	}
	if w.faults.exceedsRetention {
		return // a release may have expired while its keeper was down
	}
	for _, k := range w.keepers {
		if _, held := k.table.lookup(w.clock.Now(), modelKey); held && w.violation == "" {
			w.violation = "every claim was released, but a keeper still holds one"
		}
	}
}
