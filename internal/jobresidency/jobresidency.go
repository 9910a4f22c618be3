// Package jobresidency tells in which regions the bodies of batch jobs may be, from the route table and from the bounds under which a job was
// accepted. It decides nothing that depends on time or on other processes.
//
// Guarantees: a region that a bound route or tenant of the job excludes, by the table or by what the job was accepted under, is never
// returned as allowed. A region that is not known is allowed only for jobs without bounds.
package jobresidency

import (
	"slices"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
)

// Home returns the regions in which the process that coordinates batch jobs may stand so that every bound job may go there: those that all
// bound batch routes, the routes of reward calls of the names and, as a tenant may submit to every batch route, all bound tenants allow. It
// returns nil if nothing is bound, and if no region of the deployment is allowed by all: then no place serves every job, and none is better
// than another.
func Home(table *routing.Table, topology fleet.Topology, rewardRoutes []string) []string {
	if table == nil || !topology.Regional() {
		return nil
	}
	bound := placement.Residency{Accepted: jobSets(table, rewardRoutes)}
	if !bound.Bounded() {
		return nil
	}
	regions := bound.Regions(topology)
	slices.Sort(regions)
	return regions
}

// jobSets returns the sets of regions of the batch routes, of the named routes of reward calls, and of the tenants that may submit jobs.
func jobSets(table *routing.Table, rewardRoutes []string) [][]string {
	var sets [][]string
	batches := false
	for _, route := range table.Routes() {
		batches = batches || route.Kind == routing.KindBatch
		if route.Kind == routing.KindBatch || slices.Contains(rewardRoutes, route.Name) {
			sets = append(sets, route.AllowedRegions)
		}
	}
	if batches {
		sets = append(sets, table.Tenants.Bounds()...)
	}
	return sets
}

// Bind adds the bounds that a table sets on a job to those that the job bears.
func Bind(table *routing.Table, job *batch.Job) {
	if table == nil {
		return
	}
	job.Regions = merge(job.Regions, table.Tenants.AllowedRegions(job.Tenant))
	job.Regions = merge(job.Regions, regionsOf(table, job.Host, job.Path))
	for i := range job.Items {
		job.Regions = merge(job.Regions, regionsOf(table, job.Host, job.Items[i].Path))
		if reward := job.Items[i].Reward; reward != nil {
			job.RewardRegions = merge(job.RewardRegions, regionsOf(table, reward.Host, reward.Path))
		}
	}
}

// RewardRoutes returns the names of the bound routes that a job's reward calls take, sorted.
func RewardRoutes(table *routing.Table, job *batch.Job) []string {
	var names []string
	for i := range job.Items {
		reward := job.Items[i].Reward
		if reward == nil {
			continue
		}
		route := table.Match(reward.Host, reward.Path)
		if route != nil && len(route.AllowedRegions) > 0 && !slices.Contains(names, route.Name) {
			names = append(names, route.Name)
		}
	}
	slices.Sort(names)
	return names
}

// regionsOf returns the regions that the route of a path allows; none if there is no route.
func regionsOf(table *routing.Table, host, path string) []string {
	if route := table.Match(host, path); route != nil {
		return route.AllowedRegions
	}
	return nil
}

// merge adds a set to others unless it is empty or among them. The sets handed in are not changed.
func merge(sets [][]string, set []string) [][]string {
	if len(set) == 0 || slices.ContainsFunc(sets, func(known []string) bool { return slices.Equal(known, set) }) {
		return sets
	}
	return append(slices.Clone(sets), set)
}

// Whole returns where all that belongs to a job may be, its reward calls included, by the bounds that the job bears and by the table's. It is
// what binds a process that keeps the job.
func Whole(table *routing.Table, job *batch.Job) placement.Residency {
	bound := batch.Job{Host: job.Host, Path: job.Path, Tenant: job.Tenant, Items: job.Items, Regions: job.Regions, RewardRegions: job.RewardRegions}
	Bind(table, &bound)
	return placement.Residency{Accepted: slices.Concat(bound.Regions, bound.RewardRegions)}
}

// OfItem returns where an item may run, by the bounds that its job bears and by the table's.
func OfItem(table *routing.Table, job *batch.Job, item *batch.Item) placement.Residency {
	residency := placement.Residency{Accepted: job.Regions}
	if table != nil {
		residency.Route = regionsOf(table, job.Host, item.Path)
		residency.Tenant = table.Tenants.AllowedRegions(job.Tenant)
	}
	return residency
}

// OfRun returns where a process may stand that carries an item's run out, its reward call included.
func OfRun(table *routing.Table, job *batch.Job, item *batch.Item) placement.Residency {
	residency := OfItem(table, job, item)
	if item.Reward == nil {
		return residency
	}
	residency.Accepted = slices.Concat(residency.Accepted, job.RewardRegions)
	if table != nil {
		residency.Accepted = merge(residency.Accepted, regionsOf(table, item.Reward.Host, item.Reward.Path))
	}
	return residency
}
