package configfaults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/objectapi"
)

// inForceBar is the bar for the time to in force where the zones and the store are within reach.
const inForceBar = 4 * time.Second

// writeRecord is one write of an operator.
type writeRecord struct {
	operator *operator
	object   v1.RawObject
	ended    bool
	outcome  v1.Outcome
	err      error
	// committed, version and scope are set once the store has it; acceptedAt once the operator's node shows it accepted.
	committed  time.Time
	version    uint64
	scope      []string
	acceptedAt time.Time
}

// poolVersion is a version of a pool that the store has had.
type poolVersion struct {
	version uint64
	zones   []string
	scope   []string
	at      time.Time
}

// progress is a revision that a node has come to apply.
type progress struct {
	revision uint64
	at       time.Time
}

// monitor sees everything and checks it against the promises.
type monitor struct {
	world  *world
	writes []*writeRecord
	byID   map[string]*writeRecord
	// pools holds every version of each pool; accepted is the highest of them that any node has shown as accepted.
	pools    map[string][]poolVersion
	accepted map[string]uint64
	applies  map[*node][]progress
	result   Result
}

func newMonitor(w *world) *monitor {
	return &monitor{
		world:    w,
		byID:     make(map[string]*writeRecord),
		pools:    make(map[string][]poolVersion),
		accepted: make(map[string]uint64),
		applies:  make(map[*node][]progress),
	}
}

func (m *monitor) violate(count *int, format string, args ...any) {
	*count++
	if m.result.First == "" {
		m.result.First = m.world.clock.now().Sub(start).String() + ": " + fmt.Sprintf(format, args...)
	}
}

func (m *monitor) begin(o *operator, object v1.RawObject) *writeRecord {
	record := &writeRecord{operator: o, object: object}
	m.writes = append(m.writes, record)
	m.byID[object.Metadata.WriteID] = record
	return record
}

func (m *monitor) end(record *writeRecord, outcome v1.Outcome, err error) {
	record.ended, record.outcome, record.err = true, outcome, err
}

// committed notes what the store has taken.
func (m *monitor) committed(object v1.RawObject) {
	if object.Kind != v1.KindPool {
		return
	}
	decoded, err := v1.DecodeRaw(object)
	if err != nil {
		panic("configfaults: stored pool cannot be decoded: " + err.Error())
	}
	version := objectapi.ParseRevision(object.Metadata.ResourceVersion)
	zones := decoded.(*v1.Pool).Spec.PermittedZones
	m.pools[object.Metadata.Name] = append(m.pools[object.Metadata.Name], poolVersion{
		version: version,
		zones:   zones,
		scope:   slices.Concat(zones, object.Metadata.FormerZones),
		at:      m.world.clock.now(),
	})
	if record := m.byID[object.Metadata.WriteID]; record != nil {
		record.committed, record.version = m.world.clock.now(), version
		record.scope = slices.Concat(zones, object.Metadata.FormerZones)
	}
}

// applied checks a state that a node has just taken over.
func (m *monitor) applied(n *node, before uint64) {
	state := n.replica.State()
	if state.Revision < before {
		m.violate(&m.result.Reverted, "%s went from revision %d to %d", n.name, before, state.Revision)
	}
	if state.Revision > before {
		m.applies[n] = append(m.applies[n], progress{revision: state.Revision, at: m.world.clock.now()})
	}
	for _, pool := range poolNames {
		version := state.Accepted[configsync.ObjectKey{Kind: v1.KindPool, Name: pool}]
		m.accepted[pool] = max(m.accepted[pool], m.versionAt(pool, version))
	}
	for _, record := range m.writes {
		if record.operator.node == n && record.version > 0 && record.acceptedAt.IsZero() {
			key := configsync.ObjectKey{Kind: v1.KindPool, Name: record.object.Metadata.Name}
			if state.Accepted[key] >= record.version {
				record.acceptedAt = m.world.clock.now()
			}
		}
	}
}

// request lets a caller ask a node for every pool, each of which the node places in some permitted zone.
func (m *monitor) request(n *node) {
	m.result.Requests++
	now := m.world.clock.now()
	if serving, reason := n.replica.Serving(now); !serving {
		m.result.Refused++
		if !m.excused(n) {
			m.violate(&m.result.WronglyRefused, "%s refused a request: %s", n.name, reason)
		}
		return
	}
	state := n.replica.State()
	for _, object := range state.Objects {
		if object.Kind == v1.KindPool {
			m.place(n, state.Revision, object)
		}
	}
}

// excused reports whether the node may refuse requests: it has stood still, and has not had the time to get a lease since.
func (m *monitor) excused(n *node) bool {
	const recovery = 2 * time.Second
	return !n.pausedUntil.IsZero() && m.world.clock.now().Before(n.pausedUntil.Add(recovery))
}

// place checks one placement by the node's configuration: of a request in its own zone, to any zone that it believes permitted.
func (m *monitor) place(n *node, revision uint64, object v1.RawObject) {
	pool := object.Metadata.Name
	zones := m.zonesOf(pool, objectapi.ParseRevision(object.Metadata.ResourceVersion))
	if !slices.Contains(zones, n.zone) {
		return
	}
	if accepted := m.accepted[pool]; revision < accepted && slices.Contains(m.zonesOf(pool, accepted), n.zone) {
		m.violate(&m.result.Reverted, "%s serves pool %s by revision %d, but %d is accepted", n.name, pool, revision, accepted)
	}
	for _, zone := range append([]string{n.zone}, zones...) {
		if !m.mayHold(pool, zone) {
			m.violate(&m.result.OutsideZones, "%s served pool %s in zone %s, which no version since the accepted %d permits",
				n.name, pool, zone, m.accepted[pool])
			return
		}
	}
}

func (m *monitor) zonesOf(pool string, version uint64) []string {
	versions := m.pools[pool]
	for i := len(versions) - 1; i >= 0 && versions[i].version >= version; i-- {
		if versions[i].version == version {
			return versions[i].zones
		}
	}
	return nil
}

// versionAt returns the version of the pool as of a revision.
func (m *monitor) versionAt(pool string, revision uint64) uint64 {
	versions := m.pools[pool]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].version <= revision {
			return versions[i].version
		}
	}
	return 0
}

// mayHold reports whether the version accepted, or a later one that some zones may apply already, permits the zone.
func (m *monitor) mayHold(pool, zone string) bool {
	versions, accepted := m.pools[pool], m.accepted[pool]
	for i := len(versions) - 1; i >= 0 && versions[i].version >= accepted; i-- {
		if slices.Contains(versions[i].zones, zone) {
			return true
		}
	}
	return false
}

// finish checks what must hold in the end and returns the result.
func (m *monitor) finish() Result {
	for _, n := range m.world.nodes {
		for pool, versions := range m.pools {
			newest := versions[len(versions)-1].version
			object, _ := n.object(v1.KindPool, pool)
			held := objectapi.ParseRevision(object.Metadata.ResourceVersion)
			if accepted := m.accepted[pool]; held < accepted {
				m.violate(&m.result.Lost, "%s ends with pool %s at %d, but %d was accepted", n.name, pool, held, accepted)
			}
			if held != newest || m.accepted[pool] != newest {
				m.violate(&m.result.NotInForce, "%s ends with pool %s at %d, accepted %d, stored %d", n.name, pool, held, m.accepted[pool], newest)
			}
		}
	}
	for _, record := range m.writes {
		m.judge(record)
	}
	m.checkRace()
	m.result.StoreWatches = len(m.world.store.watches)
	return m.result
}

// judge compares what the operator was told with what happened.
func (m *monitor) judge(record *writeRecord) {
	m.result.Writes++
	stored := !record.committed.IsZero()
	switch {
	case !record.ended:
		m.result.Unended++
	case record.outcome == v1.OutcomeUnknown:
		m.result.Unknown++
	case record.outcome == v1.OutcomeNotRun:
		m.result.NotRun++
		if stored {
			m.violate(&m.result.FalseOutcomes, "write %s was reported as not run (%v) and is stored", record.object.Metadata.WriteID, record.err)
		}
	default:
		m.result.Completed++
		if !stored {
			m.violate(&m.result.Lost, "write %s was reported as done and is not stored", record.object.Metadata.WriteID)
		}
	}
	if stored && !record.acceptedAt.IsZero() {
		m.measure(record)
	}
}

// measure takes the time to in force, from when the write was stored or what kept the zones or the store out of reach had ended.
func (m *monitor) measure(record *writeRecord) {
	from := record.committed
	spans := slices.Clone(m.world.blocked)
	zones := append([]string{record.operator.node.zone}, record.scope...)
	for _, later := range m.pools[record.object.Metadata.Name] {
		// A version that replaces this one before it is accepted has to be acknowledged by its own zones too.
		if later.version > record.version && later.at.Before(record.acceptedAt) {
			zones = append(zones, later.scope...)
		}
	}
	for _, zone := range zones {
		spans = append(spans, m.world.blockedZone[zone]...)
	}
	hindered := false
	for _, blocked := range spans {
		if !record.committed.After(blocked.to) && !record.acceptedAt.Before(blocked.from) {
			hindered = true
			from = maxTime(from, minTime(blocked.to, record.acceptedAt))
		}
	}
	taken := record.acceptedAt.Sub(from)
	if hindered {
		m.result.AfterFault = append(m.result.AfterFault, taken)
		return
	}
	m.result.InForce = append(m.result.InForce, taken)
	if taken > inForceBar {
		m.violate(&m.result.Late, "write %s was in force after %s", record.object.Metadata.WriteID, taken)
	}
	m.compare(record)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// compare derives when other rules would have accepted the write: once every node in scope applies it, or a majority.
func (m *monitor) compare(record *writeRecord) {
	var times []time.Duration
	for _, n := range m.world.nodes {
		if !slices.Contains(record.scope, n.zone) {
			continue
		}
		for _, step := range m.applies[n] {
			if step.revision >= record.version {
				times = append(times, step.at.Sub(record.committed))
				break
			}
		}
	}
	slices.Sort(times)
	if len(times) > 0 {
		m.result.ByAll = append(m.result.ByAll, times[len(times)-1])
		m.result.ByQuorum = append(m.result.ByQuorum, times[len(times)/2])
	}
}

// checkRace compares each racing operator's label with its successful writes: a lower label is a lost write.
func (m *monitor) checkRace() {
	object, err := m.world.store.state.Get(v1.KindPool, poolNames[0])
	if err != nil {
		return
	}
	for _, o := range m.world.operators {
		if o.race && o.labelOf(object) < o.count {
			m.violate(&m.result.Lost, "%s made %d writes, of which %d are stored", o.name, o.count, o.labelOf(object))
		}
	}
	if strings.Contains(m.world.scenario.String(), Race.String()) {
		m.result.RaceStored = m.pools[poolNames[0]][len(m.pools[poolNames[0]])-1].version
	}
}
