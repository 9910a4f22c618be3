package survival

import "github.com/covelink/covelink/coord/quorumlog"

// commits checks the log from the outside: a group that an owner was told to be committed is in what every later owner
// recovers.
type commits struct {
	told      []toldGroup
	recovered []recoveredLog
	lost      int
}

type toldGroup struct {
	epoch quorumlog.Epoch
	group string
}

type recoveredLog struct {
	epoch  quorumlog.Epoch
	groups map[string]bool
}

// tell notes that the owner of the epoch was told that the group is committed.
func (c *commits) tell(epoch quorumlog.Epoch, group []byte) {
	told := toldGroup{epoch: epoch, group: string(group)}
	c.told = append(c.told, told)
	for _, recovered := range c.recovered {
		c.compare(told, recovered)
	}
}

// recover notes what the owner of the epoch recovered.
func (c *commits) recover(epoch quorumlog.Epoch, groups [][]byte) {
	recovered := recoveredLog{epoch: epoch, groups: make(map[string]bool)}
	for _, group := range groups {
		recovered.groups[string(group)] = true
	}
	c.recovered = append(c.recovered, recovered)
	for _, told := range c.told {
		c.compare(told, recovered)
	}
}

func (c *commits) compare(told toldGroup, recovered recoveredLog) {
	if told.epoch.Compare(recovered.epoch) < 0 && !recovered.groups[told.group] {
		c.lost++
	}
}
