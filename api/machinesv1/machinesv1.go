// Package machinesv1 is the contract of the platform's machine list: HTTP with JSON bodies.
//
// GET PathMachines?zone=Z answers 200 with a List; without a zone it lists every zone. The list lags behind the
// truth. PUT and DELETE PathMachines/{name} change it and answer 204; a body that is not a Machine is answered 400.
package machinesv1

// PathMachines is the path of the list.
const PathMachines = "/machines"

// ParamZone is the query parameter that restricts a list to one zone.
const ParamZone = "zone"

// Role says what runs on a machine.
type Role string

// The roles.
const (
	RoleEngine Role = "engine"
	RoleNode   Role = "node"
)

// State says whether a machine stays.
type State string

// The states. A machine that is gone is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one machine of the platform.
type Machine struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	// URL is the base URL of an engine, without a trailing slash; Address is the host:port of a node.
	URL     string `json:"url,omitempty"`
	Address string `json:"address,omitempty"`
	// Pool is the pool of an engine.
	Pool  string `json:"pool,omitempty"`
	State State  `json:"state"`
}

// List is the answer of GET PathMachines. Machines are sorted by name.
type List struct {
	// Revision grows with every change of the list.
	Revision uint64    `json:"revision"`
	Machines []Machine `json:"machines"`
}
