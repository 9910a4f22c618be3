package scale

import (
	"fmt"
	"sync"
)

// Role is what a node does beside serving as a gateway and a member, which all do.
type Role string

// The roles. A node that has several counts under the first that applies.
const (
	RoleCoordinator Role = "zone coordinator"
	RoleOwner       Role = "batch owner"
	RoleVoter       Role = "voter and keeper"
	RoleMember      Role = "gateway and member"
)

var allRoles = []Role{RoleCoordinator, RoleOwner, RoleVoter, RoleMember}

// roles learns from the logs of the nodes who coordinates a zone and who owns a trainer's batches.
type roles struct {
	mu           sync.Mutex
	coordinators map[string]string // by zone
	owners       map[string]string // by trainer
	terms        int
}

func newRoles() *roles {
	return &roles{coordinators: make(map[string]string), owners: make(map[string]string)}
}

// Log implements log.Logger.
func (r *roles) Log(pairs ...any) error {
	fields := make(map[string]string)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[fmt.Sprint(pairs[i])] = fmt.Sprint(pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch fields["msg"] {
	case "coordinating the zone":
		r.coordinators[fields["zone"]] = fields["node"]
		r.terms++
	case "owner started":
		r.owners[fields["trainer"]] = fields["node"]
	}
	return nil
}

// counted returns the number of zones that have a coordinator, of trainers that have an owner and of terms so far.
func (r *roles) counted() (zones, trainers, terms int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.coordinators), len(r.owners), r.terms
}

// assign returns the role of every node.
func (r *roles) assign(w *world) map[string]Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	assigned := make(map[string]Role)
	for _, config := range w.plan.Nodes {
		assigned[config.Node.Name] = RoleMember
	}
	for _, seed := range w.plan.Nodes[0].Cluster.Seeds {
		assigned[seed.Name] = RoleVoter
	}
	for _, node := range r.owners {
		assigned[node] = RoleOwner
	}
	for _, node := range r.coordinators {
		assigned[node] = RoleCoordinator
	}
	return assigned
}
