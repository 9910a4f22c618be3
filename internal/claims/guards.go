package claims

// guards disables single safety rules. Only tests set it, to verify that the checker detects the resulting violation.
type guards struct {
	// halfIsMajority lets n/2 keepers count as a majority.
	halfIsMajority bool
	// noTombstones lets a delayed message restore a released claim.
	noTombstones bool
	// noAbstaining lets a keeper grant although it may have lost earlier grants.
	noAbstaining bool
	// noKeeperSetHistory lets a keeper grant immediately after the keeper set changed.
	noKeeperSetHistory bool
}

// allGuards enforces every rule.
var allGuards = guards{}

// majority returns the number of keepers that must grant among n.
func (g guards) majority(n int) int {
	if g.halfIsMajority {
		return max(n/2, 1)
	}
	return n/2 + 1
}
