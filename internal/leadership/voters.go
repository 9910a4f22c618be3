package leadership

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/cluster"
)

const (
	// maxVoters bounds a voter set; more voters cost messages and hardly add to availability.
	maxVoters = 7
	// pair is the size of a set that one more voter makes able to lose one.
	pair     = 2
	firstSet = 1
)

// FirstVoters returns the first voter set of the zones, which are sorted: their seeds, taken from each zone in turn while there are too many. Of two
// seeds neither is a majority without the other, so a witness of another zone votes with them; it does not campaign.
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
	if len(members) == pair {
		members = append(members, witness(seeds, zones)...)
	}
	return voterset.New(firstSet, members...)
}

// witness returns the seed outside the zones that ranks first for them; none if there is no such seed.
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
