// Package routing holds the route table: which service serves a request, by host and path, and under which bounds. A table
// is never changed once it is built.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/covelink/covelink/internal/tenants"
)

// Kind says how a route's requests may be executed.
type Kind int

// The kinds of routes.
const (
	// KindAtMostOnce requests may be executed once.
	KindAtMostOnce Kind = iota
	// KindIdempotent requests may be executed more than once.
	KindIdempotent
	// KindStream requests are answered by a series of events.
	KindStream
	// KindBatch requests are batch jobs.
	KindBatch
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"at_most_once", "idempotent", "stream", "batch"}[k]
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a request is held; zero sets no bound.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth all.
	LatencyObjective time.Duration
	// MaxAttempts bounds the engines that one request may be sent to; at least 1.
	MaxAttempts int
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	// Resumable allows a broken stream to be continued after its last event.
	Resumable bool
	// ResultDeadline is when the results of a batch job are due, from its submission.
	ResultDeadline time.Duration
	// MaxQueue is the time from its submission after which an item of a batch job may be given up.
	MaxQueue time.Duration
	// SingleVersion forbids results that several weight versions made.
	SingleVersion bool
	// Open routes serve callers without a key also where there are tenants.
	Open bool
	// AllowedRegions are the regions in which the route's requests may be served, cached and stored; empty for all.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Pick returns the service for a request whose draw is uniform in [0, 1), by the weights of the targets.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	point := draw * float64(total)
	for _, target := range r.Targets {
		point -= float64(target.Weight)
		if point < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections an engine takes from all callers together; zero sets no bound.
	MaxConnections int
	// Slots is how many requests a model engine works on at once; zero for services without a model.
	Slots int
	// Models are the models that the engines hold; empty for services without a model.
	Models []string
	// TokenCapacity is the memory of an engine, in tokens.
	TokenCapacity int
	// Scaling is nil if the service's engines are not ordered by this system.
	Scaling *Scaling
	// ColdStart is how long an engine is cold after a start, and ColdRate how many requests a second it can serve meanwhile. Both are zero for
	// services whose engines serve their full load at once.
	ColdStart time.Duration
	ColdRate  float64
}

// Scaling bounds the engines of a service that may be ordered.
type Scaling struct {
	// Min and Max are those of each zone.
	Min, Max int
	// StartTime is how long an engine that is ordered takes to serve.
	StartTime time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes and services.
type Table struct {
	// Version is the operator's number; a later table has a higher one.
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Tenants are those that hold keys; nil if callers need none.
	Tenants *tenants.Directory
	routes  map[string][]*Route
	all     []*Route
}

// NewTable returns a table of the routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]*Route),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for i := range routes {
		route := &routes[i]
		host := strings.ToLower(route.Host)
		table.routes[host] = append(table.routes[host], route)
		table.all = append(table.all, route)
	}
	for _, list := range table.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return table
}

// Match returns the route of the host whose prefix begins the path and is longest, or nil. A nil table has no routes.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns all routes.
func (t *Table) Routes() []*Route { return t.all }
