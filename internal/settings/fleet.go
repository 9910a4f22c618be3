package settings

import (
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// FleetRole is what a process of a fleet does.
type FleetRole string

// The roles.
const (
	// RoleGateway takes callers' requests.
	RoleGateway FleetRole = "gateway"
	// RoleCoordinator may coordinate batch jobs and weight versions.
	RoleCoordinator FleetRole = "coordinator"
)

// Fleet are the settings of a covelinkd process whose lasting state lives in a metadata store.
type Fleet struct {
	Node   FleetNode   `koanf:"node" validate:"required"`
	Listen FleetListen `koanf:"listen"`
	Store  FleetStore  `koanf:"store" validate:"required"`
	Timing FleetTiming `koanf:"timing"`
	// Coordinators tells gateways where to look for the coordinating process.
	Coordinators FleetCoordinators `koanf:"coordinators"`
	Callers      FleetCallers      `koanf:"callers"`
	Data         FleetData         `koanf:"data"`
	Topology     FleetTopology     `koanf:"topology"`
	Duties       FleetDuties       `koanf:"duties"`
	Log          Log               `koanf:"log"`
}

// FleetNode identifies the process.
type FleetNode struct {
	Name string    `koanf:"name" validate:"required,hostname_rfc1123"`
	Zone string    `koanf:"zone" validate:"required,hostname_rfc1123"`
	Role FleetRole `koanf:"role" validate:"required,oneof=gateway coordinator"`
	// MemoryMegabytes is what the machine allows the process; zero if that is not known. The process collects garbage more often
	// as it comes near.
	MemoryMegabytes int64 `koanf:"memoryMegabytes" validate:"gte=0"`
}

// heapShare is the share of the allowed memory that the runtime is told to stay within; the rest is for the program's text, for
// buffers of the kernel and for what is allocated while garbage is collected.
const heapShare = 0.7

// HeapBytes is what the heap may take of the memory that the machine allows, in bytes; zero if that is not known.
func (n FleetNode) HeapBytes() int64 { return int64(heapShare * float64(n.MemoryMegabytes<<20)) }

// FleetCallers bounds what callers hold of the process. The bounds that follow from its memory and its descriptors go before these if they are lower.
type FleetCallers struct {
	// Megabytes bounds the bytes of callers' requests and answers that a gateway holds, and those of the batch jobs that a coordinator holds.
	// Default 256.
	Megabytes int64 `koanf:"megabytes" validate:"gte=8,lte=65536"`
	// Connections bounds the callers' open connections; gateways only. Default 4096.
	Connections int `koanf:"connections" validate:"gte=16"`
}

// FleetListen holds the addresses the process listens on, as host:port. Port 0 takes a free port.
type FleetListen struct {
	// HTTP serves callers; gateways only.
	HTTP string `koanf:"http" validate:"omitempty,hostname_port|tcp_addr"`
	// Ready serves the readiness probe; gateways only.
	Ready string `koanf:"ready" validate:"omitempty,hostname_port|tcp_addr"`
	// Internal serves other nodes; coordinators only.
	Internal string `koanf:"internal" validate:"omitempty,hostname_port|tcp_addr"`
	// Advertise is where other nodes reach Internal, if that is not the address it listens on; coordinators only.
	Advertise string `koanf:"advertise" validate:"omitempty,hostname_port|tcp_addr"`
	// Metrics serves counters and histograms; empty for none.
	Metrics string `koanf:"metrics" validate:"omitempty,hostname_port|tcp_addr"`
}

// FleetStore is the metadata store.
type FleetStore struct {
	// Address is the store's host:port.
	Address string `koanf:"address" validate:"required,hostname_port|tcp_addr"`
}

// FleetCoordinators is what is known of coordinators before any was asked.
type FleetCoordinators struct {
	// Seeds are internal addresses of some coordinators, as host:port. They may be out of date, and are read at the start alone. Without
	// any, a gateway reads from the store who coordinates.
	Seeds []string `koanf:"seeds" validate:"dive,hostname_port|tcp_addr"`
	// MaxDirect is how many gateways the coordinating process answers by itself; the others ask one of the processes that may coordinate to relay.
	// Default 64. Each costs the process up to 0.2 MB, and the whole list of engines for a while (0.6 MB at 10,000 engines). Coordinators only.
	MaxDirect int `koanf:"maxDirect" validate:"gte=1"`
}

// FleetTopology lists the zones of the deployment, and says whether they can be evacuated.
type FleetTopology struct {
	// Zones are all zones of the deployment. A request that is bound to regions never runs in a zone that is not listed.
	Zones []FleetZone `koanf:"zones" validate:"dive"`
	// EvacuateTime is how long after an evacuation requests may still reach the zone. Zero if operators never evacuate zones: evacuations are not
	// followed in the store then.
	EvacuateTime time.Duration `koanf:"evacuateTime" validate:"gte=0,lte=1h"`
}

// FleetZone is one zone with its region.
type FleetZone struct {
	Name   string `koanf:"name" validate:"required,hostname_rfc1123"`
	Region string `koanf:"region" validate:"required,hostname_rfc1123"`
}

// Regions maps each zone to its region.
func (t FleetTopology) Regions() map[string]string {
	regions := make(map[string]string, len(t.Zones))
	for _, zone := range t.Zones {
		regions[zone.Name] = zone.Region
	}
	return regions
}

// FleetData is the process's disk.
type FleetData struct {
	// Folder is where unfinished texts are kept; empty for nowhere. Coordinators only.
	Folder string `koanf:"folder"`
	// TextMegabytes bounds the unfinished texts on disk; they take twice that while they are written anew. Default 32.
	TextMegabytes int64 `koanf:"textMegabytes" validate:"gte=1,lte=4096"`
}

// Kinds of duties towards the deployment's platform.
const (
	// DutyUsage reports how many requests of each tenant began to run.
	DutyUsage = "usage"
	// DutyAutoscale orders engines.
	DutyAutoscale = "autoscale"
)

// FleetDuties are the calls to the deployment's platform that fall to the coordinating process.
type FleetDuties struct {
	// Address is the platform's host:port; empty if there are no duties.
	Address string `koanf:"address" validate:"omitempty,hostname_port|tcp_addr"`
	// Kinds are the duties to be done.
	Kinds []string `koanf:"kinds" validate:"dive,oneof=usage autoscale"`
	// UsageWindow is the length of the windows of time in which requests are counted. Default 5s.
	UsageWindow time.Duration `koanf:"usageWindow" validate:"gte=1s,lte=24h"`
	// UsageDue is how long after its end a window's report is due. Default 10s.
	UsageDue time.Duration `koanf:"usageDue" validate:"gte=1s,lte=24h"`
}

// Include reports whether a duty is to be done.
func (d FleetDuties) Include(kind string) bool {
	return d.Address != "" && slices.Contains(d.Kinds, kind)
}

// FleetTiming holds bounds on time.
type FleetTiming struct {
	// StopTimeout bounds a planned stop. Default 8s.
	StopTimeout time.Duration `koanf:"stopTimeout" validate:"gte=1s,lte=10m"`
	// LeaseLength is the least time between the orders of two coordinators. Default 3s.
	LeaseLength time.Duration `koanf:"leaseLength" validate:"gte=100ms,lte=1m"`
	// CatchUpTime is within how long a gateway must know of a change in the store that serves it, even if the coordinating process is
	// lost at the same moment. Default 2s.
	CatchUpTime time.Duration `koanf:"catchUpTime" validate:"gte=1s,lte=1m"`
	// DrainTime is within how long after the store's acknowledgement that an engine drains requests may still reach it. Default 3s.
	DrainTime time.Duration `koanf:"drainTime" validate:"gte=1s,lte=1m"`
	// RevokeTime is how long a gateway that hears of the configuration from nobody goes on serving callers by their keys, if StrictRevoke is
	// true: a key may have been withdrawn since. Default 5s.
	RevokeTime time.Duration `koanf:"revokeTime" validate:"gte=1s,lte=1h"`
	// StrictRevoke makes such a gateway refuse callers that need a key; otherwise it serves them by the last configuration that it knows.
	StrictRevoke bool `koanf:"strictRevoke"`
	// BatchRetention is how long a batch job is kept after it has ended. Default 2m.
	BatchRetention time.Duration `koanf:"batchRetention" validate:"gte=1s,lte=24h"`
}

// DefaultFleet returns the settings that hold where nothing else is said.
func DefaultFleet() Fleet {
	return Fleet{
		Timing: FleetTiming{
			StopTimeout:    8 * time.Second,
			LeaseLength:    3 * time.Second,
			CatchUpTime:    2 * time.Second,
			DrainTime:      3 * time.Second,
			RevokeTime:     5 * time.Second,
			BatchRetention: 2 * time.Minute,
		},
		Callers: FleetCallers{Megabytes: 256, Connections: 4096},
		Data:    FleetData{TextMegabytes: 32},

		Coordinators: FleetCoordinators{MaxDirect: 64},
		Duties:       FleetDuties{UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second},
		Log:          Log{Level: "info", Format: "logfmt"},
	}
}

// Check reports the first fault of the settings as an *Error, or nil.
func (s Fleet) Check() error {
	if err := checkStruct(s, "Fleet."); err != nil {
		return err
	}
	if s.Node.Role == RoleGateway && s.Listen.HTTP == "" {
		return &Error{Field: "listen.http", Message: "must be set"}
	}
	if s.Node.Role == RoleGateway && s.Listen.Ready == "" {
		return &Error{Field: "listen.ready", Message: "must be set"}
	}
	if s.Node.Role == RoleCoordinator && s.Listen.Internal == "" {
		return &Error{Field: "listen.internal", Message: "must be set"}
	}
	return nil
}

// LoadFleet is Load for a process whose state lives in a metadata store.
func LoadFleet(file string, environment []string, overrides map[string]any) (Fleet, error) {
	return load(DefaultFleet(), file, environment, overrides)
}

// NamesStore reports whether the content of a settings file is that of a Fleet: it has the section store.
func NamesStore(content []byte) bool {
	var top map[string]any
	if err := yaml.Unmarshal(content, &top); err != nil {
		return false
	}
	_, found := top["store"]
	return found
}
