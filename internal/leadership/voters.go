package leadership

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/cluster"
)

const (
	// maxVoters bounds a voter set. More voters cost messages and add little availability.
	maxVoters = 7
	// pairSize is the size of a set that needs a third voter to tolerate a failure.
	pairSize         = 2
	initialSetNumber = 1
)

// FirstVoters returns the initial voter set of the zones, which must be sorted: up to maxVoters of their seeds, taken from
// the zones round robin. Two seeds get a witness from another zone, which votes but does not campaign, as they could not
// tolerate a failure alone.
func FirstVoters(seeds []cluster.Node, zones []string) voterset.Set {
	byZone := make([][]string, len(zones))
	for _, seed := range seeds {
		if at, ok := slices.BinarySearch(zones, seed.Zone); ok {
			byZone[at] = append(byZone[at], seed.Name)
		}
	}
	var members []string
	for depth, more := 0, true; more; depth++ {
		more = false
		for _, names := range byZone {
			slices.Sort(names)
			if depth < len(names) && len(members) < maxVoters {
				members = append(members, names[depth])
				more = true
			}
		}
	}
	if len(members) == pairSize {
		members = append(members, witness(seeds, zones)...)
	}
	return voterset.New(initialSetNumber, members...)
}

// witness returns the seed outside the zones that ranks first for them, if any.
func witness(seeds []cluster.Node, zones []string) []string {
	var names []string
	var members []rendezvous.Member
	for _, seed := range seeds {
		if !slices.Contains(zones, seed.Zone) {
			names = append(names, seed.Name)
			members = append(members, rendezvous.Member{ID: rendezvous.Hash(seed.Name)})
		}
	}
	if len(names) == 0 {
		return nil
	}
	first := rendezvous.Rank(rendezvous.Hash(strings.Join(zones, ",")), members, nil)[0]
	return []string{names[first]}
}
