// Package settings reads a node's settings from a YAML file, the environment and flags, and checks them in
// one place. The later source wins: defaults, file, environment (COVELINKD_NODE_NAME for node.name), flags.
package settings

import "time"

// Settings are the settings of one covelinkd process.
type Settings struct {
	Node     Node     `koanf:"node" validate:"required"`
	Listen   Listen   `koanf:"listen"`
	Platform Platform `koanf:"platform"`
	Cluster  Cluster  `koanf:"cluster"`
	Timing   Timing   `koanf:"timing"`
	Limits   Limits   `koanf:"limits"`
	TLS      TLS      `koanf:"tls"`
	// Operators may use the resource API. Tokens are stated by their SHA-256 hash in hex.
	Operators []Operator `koanf:"operators" validate:"dive"`
	Log       Log        `koanf:"log"`
}

// Node identifies the process.
type Node struct {
	Name string `koanf:"name" validate:"required,hostname_rfc1123"`
	Zone string `koanf:"zone" validate:"required,hostname_rfc1123"`
	// DataDir is the folder for bulk data; empty on nodes without a disk.
	DataDir string `koanf:"dataDir"`
	// DataLimitBytes bounds the data folder. Default 1 GiB.
	DataLimitBytes int64 `koanf:"dataLimitBytes" validate:"gte=1048576"`
}

// Listen holds the addresses the process listens on, as host:port. Port 0 takes a free port.
type Listen struct {
	// HTTP serves callers, operators, health and metrics.
	HTTP string `koanf:"http" validate:"required,hostname_port|tcp_addr"`
	// Internal serves other nodes.
	Internal string `koanf:"internal" validate:"required,hostname_port|tcp_addr"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	ObjectAPI   string `koanf:"objectAPI" validate:"required,http_url"`
	MachineList string `koanf:"machineList" validate:"required,http_url"`
}

// Cluster names the nodes that a starting process first talks to.
type Cluster struct {
	// Seeds must be the same on every node: the nodes that vote at first start, of every zone. Leases of zones with two
	// seeds between them are also voted on by a seed of another zone, so that one node may fail.
	Seeds []Seed `koanf:"seeds" validate:"required,min=1,unique=Name,dive"`
	// Routes replace addresses of nodes and engines that this node cannot dial as they are known to the others, such as
	// those behind a forwarder.
	Routes []Route `koanf:"routes" validate:"unique=Address,dive"`
}

// Route replaces one address wherever this node dials it.
type Route struct {
	Address string `koanf:"address" validate:"required,hostname_port|tcp_addr"`
	Via     string `koanf:"via" validate:"required,hostname_port|tcp_addr"`
}

// Seed is a node known from the start.
type Seed struct {
	Name    string `koanf:"name" validate:"required,hostname_rfc1123"`
	Zone    string `koanf:"zone" validate:"required,hostname_rfc1123"`
	Address string `koanf:"address" validate:"required,hostname_port|tcp_addr"`
	HasDisk bool   `koanf:"hasDisk"`
}

// Timing holds intervals and deadlines.
type Timing struct {
	// ProbeInterval is the time between two membership probes.
	ProbeInterval time.Duration `koanf:"probeInterval" validate:"gte=10ms,lte=1m"`
	// LeaseLength is the length of coordinator and owner leases.
	LeaseLength time.Duration `koanf:"leaseLength" validate:"gte=100ms,lte=1m"`
	// NodeLeaseLength is how long a node that hears nothing from its zone's coordinator takes new work.
	NodeLeaseLength time.Duration `koanf:"nodeLeaseLength" validate:"gtfield=LeaseLength,lte=5m"`
	// MachineListInterval is the time between two reads of the machine list by a coordinator.
	MachineListInterval time.Duration `koanf:"machineListInterval" validate:"gte=50ms,lte=5m"`
	// EnginePollInterval is the time between two reads of an engine's load report by a coordinator.
	EnginePollInterval time.Duration `koanf:"enginePollInterval" validate:"gte=50ms,lte=5m"`
	// DrainTimeout bounds a planned stop; requests still in flight after it are cut. Default 10m.
	DrainTimeout time.Duration `koanf:"drainTimeout" validate:"gt=0"`
	// RequestTimeout is the deadline of a request that has no other. Default 30s.
	RequestTimeout time.Duration `koanf:"requestTimeout" validate:"gt=0"`
	// ClaimRetention is how long the claim of a request that is not repeatable, and its outcome, are kept. A node that
	// may have forgotten claims keeps none for so long. Default 10m.
	ClaimRetention time.Duration `koanf:"claimRetention" validate:"gte=10s,lte=24h"`
}

// Limits bounds what a process takes in.
type Limits struct {
	MaxBodyBytes   int64 `koanf:"maxBodyBytes" validate:"gte=1024"`
	MaxHeaderBytes int   `koanf:"maxHeaderBytes" validate:"gte=1024"`
	MaxFrameBytes  int   `koanf:"maxFrameBytes" validate:"gte=65536"`
	// MaxQueued bounds the requests that wait for an engine, per class.
	MaxQueued int `koanf:"maxQueued" validate:"gte=1"`
	// MaxQueuedTokens bounds the expected tokens of the waiting requests.
	MaxQueuedTokens int64 `koanf:"maxQueuedTokens" validate:"gte=1"`
	// MaxBatchSamples bounds the samples of one batch.
	MaxBatchSamples int `koanf:"maxBatchSamples" validate:"gte=1"`
}

// TLS names PEM files; all empty means plain TCP. Files are read again when they change.
type TLS struct {
	// CertFile, KeyFile and CAFile secure the internal protocol, both ways.
	CertFile string `koanf:"certFile" validate:"required_with=KeyFile CAFile,omitempty,file"`
	KeyFile  string `koanf:"keyFile" validate:"required_with=CertFile,omitempty,file"`
	CAFile   string `koanf:"caFile" validate:"required_with=CertFile,omitempty,file"`
	// CallerCertFile and CallerKeyFile secure the HTTP listener.
	CallerCertFile string `koanf:"callerCertFile" validate:"required_with=CallerKeyFile,omitempty,file"`
	CallerKeyFile  string `koanf:"callerKeyFile" validate:"required_with=CallerCertFile,omitempty,file"`
}

// Role is what an operator token allows.
type Role string

// The operator roles.
const (
	RoleOperator Role = "operator"
	RoleReadOnly Role = "readonly"
)

// Operator is a holder of an operator token.
type Operator struct {
	Name      string `koanf:"name" validate:"required"`
	TokenHash string `koanf:"tokenHash" validate:"required,len=64,hexadecimal"`
	Role      Role   `koanf:"role" validate:"required,oneof=operator readonly"`
}

// Log configures the logs.
type Log struct {
	Level  string `koanf:"level" validate:"oneof=debug info warn error"`
	Format string `koanf:"format" validate:"oneof=logfmt json"`
}

// Default returns the settings that hold where nothing else is said.
func Default() Settings {
	return Settings{
		Node: Node{DataLimitBytes: 1 << 30},
		Listen: Listen{
			HTTP:     "127.0.0.1:8080",
			Internal: "127.0.0.1:8081",
		},
		Timing: Timing{
			ProbeInterval:       500 * time.Millisecond,
			LeaseLength:         time.Second,
			NodeLeaseLength:     3 * time.Second,
			MachineListInterval: time.Second,
			EnginePollInterval:  500 * time.Millisecond,
			DrainTimeout:        10 * time.Minute,
			RequestTimeout:      30 * time.Second,
			ClaimRetention:      10 * time.Minute,
		},
		Limits: Limits{
			MaxBodyBytes:    32 << 20,
			MaxHeaderBytes:  64 << 10,
			MaxFrameBytes:   16 << 20,
			MaxQueued:       4096,
			MaxQueuedTokens: 64 << 20,
			MaxBatchSamples: 16384,
		},
		Log: Log{Level: "info", Format: "logfmt"},
	}
}
