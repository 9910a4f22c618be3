// Package jobresidency computes in which regions the bodies of batch jobs may be, from the route table and the bounds that were kept when a job was
// accepted. It is pure: results depend on neither time nor other processes.
//
// Guarantees: a region is never allowed if a route or the tenant of the job excludes it, in the table or in the kept bounds. An unknown region is
// allowed only for jobs without bounds.
package jobresidency

import (
	"slices"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
)

// Home returns the home regions: those in which the coordinating process may hold every bound job. All bound batch routes, the named routes of reward
// calls and all bound tenants allow them; any tenant may submit to any batch route. It returns nil if nothing is bound. It also returns nil if no
// region of the deployment is allowed by all, as then none serves every job.
func Home(table *routing.Table, topology fleet.Topology, rewardRoutes []string) []string {
	if table == nil || !topology.MultiRegion() {
		return nil
	}
	bound := placement.Residency{Accepted: jobSets(table, rewardRoutes)}
	if !bound.Restricted() {
		return nil
	}
	regions := bound.Regions(topology)
	slices.Sort(regions)
	return regions
}

// jobSets returns the allowed regions of batch routes, of the named routes of reward calls, and of tenants if there is a batch route.
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

// Bind adds the table's bounds on a job to the job's own. A nil table adds none.
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

// regionsOf returns the allowed regions of a path's route; nil if there is no route or it is not bound.
func regionsOf(table *routing.Table, host, path string) []string {
	if route := table.Match(host, path); route != nil {
		return route.AllowedRegions
	}
	return nil
}

// merge returns the sets with one more, unless that is empty or among them. It does not change its arguments.
func merge(sets [][]string, set []string) [][]string {
	if len(set) == 0 || slices.ContainsFunc(sets, func(known []string) bool { return slices.Equal(known, set) }) {
		return sets
	}
	return append(slices.Clone(sets), set)
}

// OfJob returns the residency of a process that keeps a job: the bounds of the job, its items and their reward calls, both the job's own and the
// table's.
func OfJob(table *routing.Table, job *batch.Job) placement.Residency {
	bound := batch.Job{Host: job.Host, Path: job.Path, Tenant: job.Tenant, Items: job.Items, Regions: job.Regions, RewardRegions: job.RewardRegions}
	Bind(table, &bound)
	return placement.Residency{Accepted: slices.Concat(bound.Regions, bound.RewardRegions)}
}

// OfItem returns the residency of the engine that runs an item, by the job's own bounds and the table's.
func OfItem(table *routing.Table, job *batch.Job, item *batch.Item) placement.Residency {
	residency := placement.Residency{Accepted: job.Regions}
	if table != nil {
		residency.Route = regionsOf(table, job.Host, item.Path)
		residency.Tenant = table.Tenants.AllowedRegions(job.Tenant)
	}
	return residency
}

// OfRun returns the residency of the process that carries out an item's run and its reward call.
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
