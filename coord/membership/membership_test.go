package membership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var sizes = []int{5, 50, 350}

// forSizes runs a test at each size.
func forSizes(t *testing.T, test func(t *testing.T, size int)) {
	t.Parallel()
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			test(t, size)
		})
	}
}

// detectionBound is the time within which a dead member is dead everywhere: it is probed by someone within a few intervals,
// two rounds fail, the suspicion times out, perhaps prolonged, and the news spreads.
const detectionBound = 20 * time.Second

func TestDeadMemberIsRemovedEverywhere(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 1, size)
		w.hosts["a-001"].down = true
		w.until(t, "the member is dead everywhere", detectionBound, func() bool { return w.sees(w.names, "a", size-1) })
	})
}

func TestManyMembersDieAtOnce(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 2, size)
		dead := max(1, size/7)
		for _, name := range w.names[:dead] {
			w.hosts[name].down = true
		}
		w.until(t, "all are dead everywhere", 3*detectionBound, func() bool { return w.sees(w.names, "a", size-dead) })
	})
}

// forbidDeath fails the test as soon as a running member counts another running one as dead.
func forbidDeath(t *testing.T, w *network) {
	seen := make(map[string]uint64)
	w.onEvent = func(h *host) {
		if seen[h.member.Name] == h.node.Version() {
			return
		}
		seen[h.member.Name] = h.node.Version()
		for _, record := range h.node.Records() {
			if record.State == Dead && !w.hosts[record.Member.Name].down {
				t.Fatalf("%v: %s believes %s dead", w.now.Sub(epoch), h.member.Name, record.Member.Name)
			}
		}
	}
}

func TestLossAndAsymmetricLinksKillNobody(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 3, size)
		w.loss = 0.2
		w.duplication = 0.05
		// The first member can't send to two others, and can't hear a third.
		w.cut = func(from, to string) bool {
			return from == "a-000" && (to == "a-001" || to == "a-002") || from == "a-003" && to == "a-000"
		}
		forbidDeath(t, w)
		w.run(time.Minute)
	})
}

func TestSlowMemberDoesNotFlap(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 4, size)
		w.hosts["a-001"].lag = 600 * time.Millisecond
		forbidDeath(t, w)
		w.run(time.Minute)
	})
}

func TestPausedMemberAccusesNobody(t *testing.T) {
	w := settledZone(t, 5, 50)
	slow := w.hosts["a-001"]
	for range 10 {
		slow.pausedUntil = w.now.Add(1500 * time.Millisecond)
		forbidDeath(t, w)
		w.run(10 * time.Second)
	}
	if !w.sees(w.names, "a", 50) {
		t.Fatal("members were lost")
	}
}

func TestPartitionHeals(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 6, size)
		left := w.names[:size/2]
		right := w.names[size/2:]
		w.cut = func(from, to string) bool { return slices.Contains(left, from) != slices.Contains(left, to) }
		w.until(t, "each side knows itself only", 2*time.Minute, func() bool {
			return w.sees(left, "a", len(left)) && w.sees(right, "a", len(right))
		})
		w.cut = func(string, string) bool { return false }
		w.until(t, "the sides converge", 2*time.Minute, func() bool { return w.sees(w.names, "a", size) })
		w.run(time.Minute)
		if !w.sees(w.names, "a", size) {
			t.Fatal("not stable after the partition")
		}
	})
}

func TestPlannedStopSpreadsAtOnce(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		w := settledZone(t, 7, size)
		leaving := w.hosts["a-001"]
		w.send("a-001", leaving.node.Leave(w.now))
		others := slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return name == "a-001" })
		w.until(t, "all know that it leaves", 3*time.Second, func() bool { return w.sees(others, "a", size-1) })
		w.run(10 * time.Second)
		if leaving.node.Self().State != Leaving {
			t.Fatal("it forgot that it leaves")
		}
	})
}

func TestAnotherWitnessOnlyConfirms(t *testing.T) {
	w := settledZone(t, 11, 50)
	tell := func() {
		for _, name := range w.names {
			w.hosts[name].node.SetLeaving(w.now, []string{"a-001"})
		}
	}
	tell()
	w.run(10 * time.Second)
	if !w.sees(w.names, "a", 50) {
		t.Fatal("a live member was dropped on the word of one witness")
	}
	tell()
	w.hosts["a-001"].down = true
	w.until(t, "the member is dead everywhere", 5*time.Second, func() bool { return w.sees(w.names, "a", 49) })
}

func TestRestartedMemberIsBack(t *testing.T) {
	for name, incarnation := range map[string]uint64{"higher incarnation": 9, "lost incarnation": 1} {
		t.Run(name, func(t *testing.T) {
			w := settledZone(t, 8, 50)
			old := w.hosts["a-010"]
			old.down = true
			w.until(t, "it is dead", detectionBound, func() bool { return w.sees(w.names, "a", 49) })
			moved := old.member
			moved.Address = "10.0.0.2:1"
			w.start(moved, incarnation, []Member{w.hosts["a-000"].member})
			w.until(t, "it is back", 20*time.Second, func() bool { return w.sees(w.names, "a", 50) })
			for _, member := range w.hosts["a-030"].node.Live() {
				if member.Name == moved.Name && member != moved {
					t.Fatalf("old description: %v", member)
				}
			}
		})
	}
}

func TestNewMemberJoinsThroughAnotherZone(t *testing.T) {
	w := newNetwork(9)
	a := w.startZone("a", 5)
	b := w.startZone("b", 5)
	for _, member := range a {
		w.hosts[member.Name].node.contacts = append(w.hosts[member.Name].node.contacts, b[0])
	}
	w.until(t, "the zones know each other", time.Minute, func() bool { return w.sees(w.names, "b", 5) || w.bridged(3) })
	// The seeds of its zone are gone; one of the other zone is left.
	gone := Member{Name: "a-gone", Zone: "a", Address: "10.9.9.9:1"}
	w.start(Member{Name: "a-new", Zone: "a", Address: "10.0.0.3:1"}, 1, []Member{gone, b[1]})
	zone := slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return name[0] != 'a' })
	w.until(t, "it is known in its zone", 20*time.Second, func() bool { return w.sees(zone, "a", 6) })
}

// bridged reports whether every running member knows the same count of bridges of each other zone, all running.
func (w *network) bridged(count int) bool {
	for _, name := range w.names {
		h := w.hosts[name]
		if h.down {
			continue
		}
		zones := make(map[string]int)
		for _, member := range h.node.Live() {
			if w.hosts[member.Name].down {
				return false
			}
			zones[member.Zone]++
		}
		for _, zone := range h.node.otherZones() {
			if zones[zone] != count {
				return false
			}
		}
	}
	return true
}

func TestBridgesAreReplaced(t *testing.T) {
	w := newNetwork(10)
	var seeds []Member
	for i := range 8 {
		members := w.startZone(string(rune('a'+i)), 12)
		seeds = append(seeds, members[:2]...)
	}
	for _, name := range w.names {
		w.hosts[name].node.contacts = seeds
	}
	w.until(t, "all zones are bridged", time.Minute, func() bool { return w.bridged(3) })
	for range 3 {
		bridges := w.hosts["b-005"].node.table.bridges("a", 3)
		for _, bridge := range bridges {
			w.hosts[bridge.Member.Name].down = true
		}
		w.until(t, "the bridges are replaced", time.Minute, func() bool { return w.bridged(3) })
	}
	zoneCut := func(name string) bool { return name[0] == 'c' }
	w.cut = func(from, to string) bool { return zoneCut(from) != zoneCut(to) }
	w.run(3 * time.Minute)
	if !w.bridged(3) {
		t.Fatal("a zone that is cut off must not be forgotten")
	}
}

// failedSeed is a seed of rapid with which TestSchedules failed once; the cause stands there.
const failedSeed = "1419056024356227886"

// TestMain fixes the schedules, so that every run gives the same verdict; -rapid.seed plays others.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", failedSeed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// TestSchedules lets random faults happen and then demands that all live members agree. One of the contacts of each member, the
// last member, stays up: members whose contacts are all gone before they have met cannot find each other (failedSeed crashed all
// three at the start).
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{2, 3, 5, 9, 20}).Draw(r, "size")
		w := newNetwork(rapid.Uint64().Draw(r, "seed"))
		w.startZone("a", size)
		w.addContact(w.names[len(w.names)-1])
		incarnation := uint64(1)
		for range rapid.IntRange(1, 12).Draw(r, "faults") {
			w.fault(r, &incarnation)
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(r, "pause")) * time.Millisecond)
		}
		w.loss, w.duplication = 0, 0
		w.cut = func(string, string) bool { return false }
		live := 0
		for _, name := range w.names {
			if !w.hosts[name].down {
				w.hosts[name].lag = 0
				live++
			}
		}
		deadline := w.now.Add(5 * time.Minute)
		for !w.sees(w.names, "a", live) {
			if w.now.After(deadline) {
				r.Fatalf("%d live members of %d don't agree", live, size)
			}
			w.run(time.Second)
		}
	})
}

// addContact makes all members know another one from their start.
func (w *network) addContact(name string) {
	for _, other := range w.names {
		node := w.hosts[other].node
		node.contacts = append(slices.Clone(node.contacts), w.hosts[name].member)
	}
}

// The members of a zone whose first three contacts crash at the start find each other through the fourth.
func TestContactsCrashAtTheStart(t *testing.T) {
	w := newNetwork(12)
	w.startZone("a", 9)
	w.addContact("a-008")
	for _, name := range []string{"a-000", "a-001", "a-002"} {
		w.hosts[name].down = true
	}
	w.until(t, "the others agree", 5*time.Minute, func() bool { return w.sees(w.names, "a", 6) })
}

func (w *network) fault(r *rapid.T, incarnation *uint64) {
	victim := w.hosts[rapid.SampledFrom(w.names[:len(w.names)-1]).Draw(r, "victim")]
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "lag", "loss", "one way", "partition"}).Draw(r, "fault") {
	case "crash":
		victim.down = true
	case "restart":
		*incarnation++
		w.start(victim.member, *incarnation, []Member{w.hosts[w.names[len(w.names)-1]].member})
	case "pause":
		victim.pausedUntil = w.now.Add(3 * time.Second)
	case "lag":
		victim.lag = time.Second
	case "loss":
		w.loss, w.duplication = 0.2, 0.2
	case "one way":
		w.cut = func(from, _ string) bool { return from == victim.member.Name }
	case "partition":
		side := func(name string) bool { return name < victim.member.Name }
		w.cut = func(from, to string) bool { return side(from) != side(to) }
	}
}
