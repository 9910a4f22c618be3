package settings

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// platformFields are values as the platform fills the templates of deploy/ with.
var platformFields = map[string]string{
	"node-name":              "storage-zone-a-1",
	"limits.memory-mb":       "294",
	"zone":                   "zone-a",
	"ip":                     "10.1.0.13",
	"listen.frontend":        "10.1.0.10:8161",
	"listen.readiness":       "10.1.0.10:8167",
	"listen.control-plane":   "10.1.0.13:7720",
	"seeds":                  "10.1.0.13:7720,10.2.0.4:7720",
	"bounds.config-apply-ms": "4000",
	"platform.address":       "10.200.1.7:8169",
	"bounds.grace-s":         "8",
	"bounds.lease-ms":        "3000",
	"bounds.status-s":        "120",
	"data-dir":               "/data/storage",
	"zones":                  "zone-a=region-a",
	"@":                      "zone-a",
	".":                      "region-a",
}

// dutyFields are those that only deployments with duties have.
var dutyFields = map[string]string{
	"cloud-api.address":      "10.200.0.155:8621",
	"cloud-api.duties":       "usage,autoscale",
	"bounds.report-window-s": "5",
	"bounds.usage-late-s":    "10",
	"bounds.revoke-ms":       "4000",
	"bounds.strict-revoke":   "true",
	"bounds.evacuate-ms":     "5000",
}

var (
	gap = regexp.MustCompile(`\{\{([^}#/]+)\}\}`)
	// section is a part that appears if its field is given.
	section = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}((?:[^{]|\{\{[^#/])*?)\{\{/([^}]+)\}\}`)
)

// render fills a template of deploy/ as the platform does where there are no duties.
func render(t *testing.T, name string) string {
	t.Helper()
	return renderWith(t, name, platformFields)
}

// renderWith fills a template of deploy/ as the platform does.
func renderWith(t *testing.T, name string, fields map[string]string) string {
	t.Helper()
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	return fill(t, name, string(template), fields)
}

func fill(t *testing.T, name, text string, fields map[string]string) string {
	t.Helper()
	for section.MatchString(text) {
		text = section.ReplaceAllStringFunc(text, func(found string) string {
			parts := section.FindStringSubmatch(found)
			if parts[1] != parts[3] {
				t.Fatalf("%s: section %s ends as %s", name, parts[1], parts[3])
			}
			if _, given := fields[parts[1]]; !given {
				return ""
			}
			return parts[2]
		})
	}
	return gap.ReplaceAllStringFunc(text, func(found string) string {
		value, ok := fields[strings.Trim(found, "{}")]
		if !ok {
			t.Fatalf("%s asks for %s", name, found)
		}
		return value
	})
}

func TestLoadFleet(t *testing.T) {
	Convey("What the templates of deploy/ yield is accepted", t, func() {
		gateway, err := LoadFleet(write(t, render(t, "gateway.yaml.tmpl")), nil, nil)
		So(err, ShouldBeNil)
		So(gateway.Node, ShouldResemble, FleetNode{Name: "storage-zone-a-1", Zone: "zone-a", Role: RoleGateway, MemoryMegabytes: 294})
		So(gateway.Listen.HTTP, ShouldEqual, "10.1.0.10:8161")
		So(gateway.Timing.StopTimeout, ShouldEqual, 8*time.Second)
		So(gateway.Timing.CatchUpTime, ShouldEqual, 4*time.Second)
		So(gateway.Coordinators.Seeds, ShouldResemble, []string{"10.1.0.13:7720", "10.2.0.4:7720"})
		coordinator, err := LoadFleet(write(t, render(t, "coordinator.yaml.tmpl")), nil, nil)
		So(err, ShouldBeNil)
		So(coordinator.Listen.Internal, ShouldEqual, "10.1.0.13:7720")
		So(coordinator.Timing.LeaseLength, ShouldEqual, 3*time.Second)
		So(NamesStore([]byte(render(t, "gateway.yaml.tmpl"))), ShouldBeTrue)
	})
	Convey("Duties are read where the platform has them", t, func() {
		fields := maps.Clone(platformFields)
		maps.Copy(fields, dutyFields)
		for _, name := range []string{"gateway.yaml.tmpl", "coordinator.yaml.tmpl"} {
			config, err := LoadFleet(write(t, renderWith(t, name, fields)), nil, nil)
			So(err, ShouldBeNil)
			So(config.Duties.Include(DutyUsage), ShouldBeTrue)
			So(config.Duties.Include(DutyAutoscale), ShouldBeTrue)
			So(config.Duties.UsageWindow, ShouldEqual, 5*time.Second)
			So(config.Duties.UsageDue, ShouldEqual, 10*time.Second)
			So(config.Timing.StrictRevoke, ShouldEqual, config.Node.Role == RoleGateway)
			config, err = LoadFleet(write(t, render(t, name)), nil, nil)
			So(err, ShouldBeNil)
			So(config.Timing.StrictRevoke, ShouldBeFalse)
			So(config.Duties.Include(DutyUsage), ShouldBeFalse)
		}
	})
	Convey("A faulty file gives one line that names the field", t, func() {
		good := render(t, "coordinator.yaml.tmpl")
		for _, c := range []struct{ old, new, field string }{
			{"role: coordinator", "role: king", "node.role"},
			{`address: "10.200.1.7:8169"`, `address: "nowhere"`, "store.address"},
			{`internal: "10.1.0.13:7720"`, `http: "10.1.0.13:7720"`, "listen.internal"},
			{`internal: "10.1.0.13:7720"`, "internal: \"10.1.0.13:7720\"\n  advertise: nowhere", "listen.advertise"},
			{"stopTimeout: 8s", "stopTimeout: 8ms", "timing.stopTimeout"},
			{"zone: zone-a", "zone: zone-a\n  colour: red", "node.colour"},
		} {
			_, err := LoadFleet(write(t, strings.Replace(good, c.old, c.new, 1)), nil, nil)
			var fault *Error
			So(errors.As(err, &fault), ShouldBeTrue)
			So(fault.Field, ShouldEqual, c.field)
			So(err.Error(), ShouldNotContainSubstring, "\n")
		}
	})
	Convey("A file without a store is one of the other kind", t, func() {
		So(NamesStore([]byte("node: {name: a}")), ShouldBeFalse)
	})
}
