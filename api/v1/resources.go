package v1

import (
	"encoding/json"
	"time"
)

// APIVersion is the value of apiVersion in every resource.
const APIVersion = "covelink.io/v1"

// Kind names a resource type.
type Kind string

// The resource kinds.
const (
	KindZone        Kind = "Zone"
	KindPool        Kind = "Pool"
	KindTrainer     Kind = "Trainer"
	KindApplication Kind = "Application"
)

// Kinds lists every resource kind in the order in which a set of resources is applied:
// a resource refers only to kinds that stand before its own.
var Kinds = []Kind{KindZone, KindPool, KindTrainer, KindApplication}

// TypeMeta identifies the schema of a resource.
type TypeMeta struct {
	APIVersion string `json:"apiVersion" yaml:"apiVersion"`
	Kind       Kind   `json:"kind" yaml:"kind"`
}

// ObjectMeta is the metadata that every resource carries.
type ObjectMeta struct {
	Name string `json:"name" yaml:"name"`
	// ResourceVersion is the store's revision of the last write of this object, in decimal.
	// On an update it states the version the writer has read; a mismatch is a conflict.
	ResourceVersion string `json:"resourceVersion,omitempty" yaml:"resourceVersion,omitempty"`
	// Generation grows by one with every change of the spec.
	Generation int64             `json:"generation,omitempty" yaml:"generation,omitempty"`
	Labels     map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
	// WriteID identifies the write that stored this revision, so that a writer whose
	// reply was lost can tell by reading back whether its write took effect.
	WriteID string `json:"writeID,omitempty" yaml:"writeID,omitempty"`
	// FormerZones are zones out of the scope of this revision in which an earlier one, not known to be out of force, applied.
	// They have to acknowledge this revision too. Only the system sets them.
	FormerZones       []string  `json:"formerZones,omitempty" yaml:"formerZones,omitempty"`
	CreationTimestamp time.Time `json:"creationTimestamp,omitzero" yaml:"creationTimestamp,omitempty"`
}

// ConditionType names one observed aspect of a resource.
type ConditionType string

// The condition types.
const (
	// ConditionAccepted is true once every zone in scope has acknowledged that all its live nodes apply the revision.
	ConditionAccepted ConditionType = "Accepted"
	// ConditionInForce is true once every node that may serve in every zone in scope applies the revision. It follows
	// Accepted: a node that cannot be reached counts until its lease has lapsed, and serves nothing from then on.
	ConditionInForce ConditionType = "InForce"
	// ConditionDegraded is true while the resource is served with less than its spec asks.
	ConditionDegraded ConditionType = "Degraded"
)

// ConditionStatus is the truth value of a condition.
type ConditionStatus string

// The condition values.
const (
	ConditionTrue    ConditionStatus = "True"
	ConditionFalse   ConditionStatus = "False"
	ConditionUnknown ConditionStatus = "Unknown"
)

// Condition is one observed aspect of a resource.
type Condition struct {
	Type               ConditionType   `json:"type" yaml:"type"`
	Status             ConditionStatus `json:"status" yaml:"status"`
	Reason             string          `json:"reason,omitempty" yaml:"reason,omitempty"`
	Message            string          `json:"message,omitempty" yaml:"message,omitempty"`
	ObservedGeneration int64           `json:"observedGeneration,omitempty" yaml:"observedGeneration,omitempty"`
	// LastTransitionTime is when the node that answers saw the status taken; a node that has started anew counts from then.
	LastTransitionTime time.Time `json:"lastTransitionTime,omitzero" yaml:"lastTransitionTime,omitempty"`
}

// Status is what the system reports of a resource. Operators cannot write it.
type Status struct {
	ObservedGeneration int64       `json:"observedGeneration,omitempty" yaml:"observedGeneration,omitempty"`
	Conditions         []Condition `json:"conditions,omitempty" yaml:"conditions,omitempty"`
	// Nodes and Engines count the live ones; set for zones and pools.
	Nodes   int `json:"nodes,omitempty" yaml:"nodes,omitempty"`
	Engines int `json:"engines,omitempty" yaml:"engines,omitempty"`
	// Versions counts engines by the weight version they run; set for pools.
	Versions map[int64]int `json:"versions,omitempty" yaml:"versions,omitempty"`
}

// Zone is a place with its own machines. Names of zones are unique over all regions.
type Zone struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata ObjectMeta `json:"metadata" yaml:"metadata"`
	Spec     ZoneSpec   `json:"spec" yaml:"spec"`
	Status   Status     `json:"status,omitzero" yaml:"status,omitempty"`
}

// ZoneSpec is the desired state of a zone.
type ZoneSpec struct {
	Region string `json:"region" yaml:"region"`
	// Cordoned keeps new work off every engine of the zone; work in flight finishes.
	Cordoned bool `json:"cordoned,omitempty" yaml:"cordoned,omitempty"`
}

// Pool is a set of engines that serve one model.
type Pool struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata ObjectMeta `json:"metadata" yaml:"metadata"`
	Spec     PoolSpec   `json:"spec" yaml:"spec"`
	Status   Status     `json:"status,omitzero" yaml:"status,omitempty"`
}

// PoolSpec is the desired state of a pool.
type PoolSpec struct {
	Model string `json:"model" yaml:"model"`
	// PermittedZones lists the only zones where the pool's data may be processed or stored.
	PermittedZones []string `json:"permittedZones" yaml:"permittedZones"`
	// DrainingEngines names engines that must receive no new work.
	DrainingEngines []string `json:"drainingEngines,omitempty" yaml:"drainingEngines,omitempty"`
	// MaxTokens bounds the tokens of one answer. Default 4096.
	MaxTokens int `json:"maxTokens,omitempty" yaml:"maxTokens,omitempty"`
	// MaxConcurrent bounds the requests in flight on one engine. Default 16.
	MaxConcurrent int `json:"maxConcurrent,omitempty" yaml:"maxConcurrent,omitempty"`
	// InteractiveReserve is the number of request slots an engine keeps free of rollouts. Default 2.
	InteractiveReserve int `json:"interactiveReserve,omitempty" yaml:"interactiveReserve,omitempty"`
}

// Trainer consumes rollouts of one pool and publishes the pool's weights.
type Trainer struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata ObjectMeta  `json:"metadata" yaml:"metadata"`
	Spec     TrainerSpec `json:"spec" yaml:"spec"`
	Status   Status      `json:"status,omitzero" yaml:"status,omitempty"`
}

// TrainerSpec is the desired state of a trainer.
type TrainerSpec struct {
	Pool string `json:"pool" yaml:"pool"`
	// StalenessBound is the greatest allowed difference, in versions, between the version the
	// trainer is at and the oldest version that produced a sample it receives.
	StalenessBound int64 `json:"stalenessBound" yaml:"stalenessBound"`
	// MaxInFlight bounds the trainer's samples in flight. Default 1024.
	MaxInFlight int `json:"maxInFlight,omitempty" yaml:"maxInFlight,omitempty"`
	// Weight is the trainer's share among trainers of the pool. Default 1.
	Weight int `json:"weight,omitempty" yaml:"weight,omitempty"`
	// Scorer is the base URL of the scoring service; empty means samples carry no score.
	Scorer string `json:"scorer,omitempty" yaml:"scorer,omitempty"`
	// TokenHashes lists the SHA-256 hashes (hex) of the bearer tokens the trainer may use.
	TokenHashes []string `json:"tokenHashes" yaml:"tokenHashes"`
}

// Application is a client of interactive completions.
type Application struct {
	TypeMeta `json:",inline" yaml:",inline"`
	Metadata ObjectMeta      `json:"metadata" yaml:"metadata"`
	Spec     ApplicationSpec `json:"spec" yaml:"spec"`
	Status   Status          `json:"status,omitzero" yaml:"status,omitempty"`
}

// ApplicationSpec is the desired state of an application.
type ApplicationSpec struct {
	Pools []string `json:"pools" yaml:"pools"`
	// RequestsPerSecond and Burst limit the rate on one node. Defaults 100 and 200.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty" yaml:"burst,omitempty"`
	// MaxInFlight bounds the application's requests in flight on one node. Default 256.
	MaxInFlight int `json:"maxInFlight,omitempty" yaml:"maxInFlight,omitempty"`
	// TimeoutMillis is the deadline of a request that states none, in milliseconds. Default 30000.
	TimeoutMillis int      `json:"timeoutMillis,omitempty" yaml:"timeoutMillis,omitempty"`
	TokenHashes   []string `json:"tokenHashes" yaml:"tokenHashes"`
}

// Object is any resource of this package, by pointer.
type Object interface {
	// ObjectKind returns the kind of the resource.
	ObjectKind() Kind
	// Meta returns the metadata, which the caller may change in place.
	Meta() *ObjectMeta
	// ObjectStatus returns the status, which the caller may change in place.
	ObjectStatus() *Status
}

// ObjectKind implements Object.
func (z *Zone) ObjectKind() Kind { return KindZone }

// Meta implements Object.
func (z *Zone) Meta() *ObjectMeta { return &z.Metadata }

// ObjectStatus implements Object.
func (z *Zone) ObjectStatus() *Status { return &z.Status }

// ObjectKind implements Object.
func (p *Pool) ObjectKind() Kind { return KindPool }

// Meta implements Object.
func (p *Pool) Meta() *ObjectMeta { return &p.Metadata }

// ObjectStatus implements Object.
func (p *Pool) ObjectStatus() *Status { return &p.Status }

// ObjectKind implements Object.
func (t *Trainer) ObjectKind() Kind { return KindTrainer }

// Meta implements Object.
func (t *Trainer) Meta() *ObjectMeta { return &t.Metadata }

// ObjectStatus implements Object.
func (t *Trainer) ObjectStatus() *Status { return &t.Status }

// ObjectKind implements Object.
func (a *Application) ObjectKind() Kind { return KindApplication }

// Meta implements Object.
func (a *Application) Meta() *ObjectMeta { return &a.Metadata }

// ObjectStatus implements Object.
func (a *Application) ObjectStatus() *Status { return &a.Status }

// RawObject is a resource as the store keeps it: metadata in the clear, spec as JSON.
// It is also the form in which nodes send resources to each other.
type RawObject struct {
	Kind     Kind            `json:"kind"`
	Metadata ObjectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}
