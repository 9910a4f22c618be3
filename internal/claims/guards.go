package claims

// guards switches single rules off. Only tests do so, to show that their checker notices what each rule prevents.
type guards struct {
	// halfIsMajority takes n/2 keepers for a majority.
	halfIsMajority bool
	// noTombstones lets a late message revive a released claim.
	noTombstones bool
	// noAbstaining lets a keeper grant that has forgotten what it granted.
	noAbstaining bool
	// noHomeHistory lets a keeper grant right after its set of keepers has changed.
	noHomeHistory bool
}

// allGuards has every rule in force.
var allGuards = guards{}

// majority returns the number of keepers that must grant among n.
func (g guards) majority(n int) int {
	if g.halfIsMajority {
		return max(n/2, 1)
	}
	return n/2 + 1
}
