package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	columnPadding = 3
	emptyCell     = "-"
)

var conditionColumns = []v1.ConditionType{v1.ConditionAccepted, v1.ConditionInForce, v1.ConditionDegraded}

// writeTable prints resources of one kind, one a line.
func writeTable(out io.Writer, kind v1.Kind, objects []v1.Object) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	header := []string{"NAME"}
	for _, column := range conditionColumns {
		header = append(header, strings.ToUpper(string(column)))
	}
	writeRow(table, append(header, kindColumns(kind)...))
	for _, object := range objects {
		row := []string{object.Meta().Name}
		for _, column := range conditionColumns {
			row = append(row, conditionCell(object, column))
		}
		writeRow(table, append(row, kindCells(object)...))
	}
	return table.Flush()
}

// writeRow leaves errors to Flush, which reports the first.
func writeRow(table *tabwriter.Writer, cells []string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}

// conditionCell shows a condition as Unknown while it is of an earlier generation.
func conditionCell(object v1.Object, wanted v1.ConditionType) string {
	condition, found := findCondition(object, wanted)
	if !found {
		return emptyCell
	}
	if condition.ObservedGeneration < object.Meta().Generation {
		return string(v1.ConditionUnknown)
	}
	return string(condition.Status)
}

func kindColumns(kind v1.Kind) []string {
	switch kind {
	case v1.KindZone:
		return []string{"REGION", "CORDONED", "NODES", "ENGINES"}
	case v1.KindPool:
		return []string{"MODEL", "ZONES", "ENGINES", "VERSIONS"}
	case v1.KindTrainer:
		return []string{"POOL", "STALENESS", "INFLIGHT", "WEIGHT"}
	default:
		return []string{"POOLS", "RATE", "BURST", "INFLIGHT"}
	}
}

func kindCells(object v1.Object) []string {
	status := object.ObjectStatus()
	switch typed := object.(type) {
	case *v1.Zone:
		return []string{typed.Spec.Region, strconv.FormatBool(typed.Spec.Cordoned), strconv.Itoa(status.Nodes), strconv.Itoa(status.Engines)}
	case *v1.Pool:
		return []string{typed.Spec.Model, strings.Join(typed.Spec.PermittedZones, ","), strconv.Itoa(status.Engines), versionsCell(status.Versions)}
	case *v1.Trainer:
		spec := typed.Spec
		return []string{spec.Pool, strconv.FormatInt(spec.StalenessBound, 10), strconv.Itoa(spec.MaxInFlight), strconv.Itoa(spec.Weight)}
	case *v1.Application:
		spec := typed.Spec
		rate := strconv.FormatFloat(spec.RequestsPerSecond, 'g', -1, 64)
		return []string{strings.Join(spec.Pools, ","), rate, strconv.Itoa(spec.Burst), strconv.Itoa(spec.MaxInFlight)}
	default:
		return nil
	}
}

// versionsCell shows how many engines run each weight version, as in 41:2,42:6.
func versionsCell(versions map[int64]int) string {
	if len(versions) == 0 {
		return emptyCell
	}
	cells := make([]string, 0, len(versions))
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		cells = append(cells, fmt.Sprintf("%d:%d", version, versions[version]))
	}
	return strings.Join(cells, ",")
}

func upper(kind v1.Kind) string { return strings.ToUpper(string(kind)) }

func orDash(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}
