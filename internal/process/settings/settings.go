// Package settings reads the YAML settings of one daemon. Settings contain what
// differs between processes (addresses, files, roles); the configuration that
// applies to all processes comes in release notes.
package settings

import "time"

// Defaults of fields that the settings file omits or sets to zero.
const (
	DefaultRegion            = "default"
	DefaultLedgerShards      = 2
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 400 * time.Millisecond
	DefaultBodyBytes         = 1 << 20
	DefaultHeaderBytes       = 16 << 10
	DefaultConnections       = 4096
	DefaultMemoryBytes       = 256 << 20
	DefaultRenewInterval     = time.Second
	DefaultDrainTimeout      = 5 * time.Second
	DefaultLogFormat         = "json"
	DefaultLogLevel          = "info"
)

// Settings are the settings of one daemon. After Load every default is filled
// in and every file name is absolute or relative to the working directory.
type Settings struct {
	// Instance is the name of this process, equal to the common name of its
	// mesh certificate.
	Instance string `yaml:"instance" validate:"required,name"`
	// FailureDomain is the failure domain that this process belongs to.
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Region is the region of the failure domain. Default "default".
	Region string `yaml:"region" validate:"name"`
	// Mesh names the files of the mesh certificate.
	Mesh Mesh `yaml:"mesh"`
	// Listen holds the addresses that this process listens on.
	Listen Listen `yaml:"listen"`
	// Advertise holds the addresses that other processes connect to, where they
	// differ from those in Listen.
	Advertise Advertise `yaml:"advertise"`
	// Replicas are the control addresses of the control replicas.
	Replicas []string `yaml:"replicas" validate:"required,min=1,max=7,unique,dive,ipport"`
	// DataDir is the data directory, relative to the settings file. Required with
	// the control role.
	DataDir string `yaml:"data"`
	// Control holds the settings of the control role.
	Control Control `yaml:"control"`
	// Subscribe lists the services that this daemon calls; empty means all.
	Subscribe []string `yaml:"subscribe" validate:"unique,dive,name"`
	// Limits bounds what one caller may send.
	Limits Limits `yaml:"limits"`
	// RenewInterval is the interval between two renewals of the daemon's freshness
	// lease. Default 1s.
	RenewInterval time.Duration `yaml:"renew" validate:"min=50ms,max=1500ms"`
	// DrainTimeout bounds how long a graceful shutdown waits for in-flight
	// requests. Default 5s.
	DrainTimeout time.Duration `yaml:"drain" validate:"min=0,max=10m"`
	// Log holds the settings of the log output.
	Log Log `yaml:"log"`
}

// Mesh names PEM files, relative to the settings file.
type Mesh struct {
	// Authority is the certificate of the mesh's authority.
	Authority string `yaml:"authority" validate:"required,file"`
	// Certificate is the certificate of this process.
	Certificate string `yaml:"certificate" validate:"required,file"`
	// Key is the private key of Certificate.
	Key string `yaml:"key" validate:"required,file"`
}

// Listen holds listener addresses, each IP:port.
type Listen struct {
	// Ingress accepts the requests of callers.
	Ingress string `yaml:"ingress" validate:"required,ipport"`
	// Peer accepts connections of other daemons over mutual TLS.
	Peer string `yaml:"peer" validate:"required,ipport"`
	// Control accepts JSON-RPC over mutual TLS; set only with the control role.
	Control string `yaml:"control" validate:"omitempty,ipport"`
	// Egress accepts the outgoing calls of the local target; loopback only.
	Egress string `yaml:"egress" validate:"required,ipport,loopback"`
	// Announce accepts the announcements of the local target; loopback only.
	Announce string `yaml:"announce" validate:"required,ipport,loopback"`
	// Operators serves expvar and the health of the process to operators.
	Operators string `yaml:"operators" validate:"required,ipport"`
}

// Advertise holds the addresses at which other processes reach this one, each
// IP:port.
type Advertise struct {
	// Peer is the advertised peer address. Default: Listen.Peer.
	Peer string `yaml:"peer" validate:"omitempty,ipport"`
	// Control is the advertised control address. Default: Listen.Control.
	Control string `yaml:"control" validate:"omitempty,ipport"`
}

// Control holds the settings of the role of a control replica.
type Control struct {
	// Enabled gives this process the control role. Default false.
	Enabled bool `yaml:"enabled"`
	// LedgerShards is the number of ledger groups. It must be the same on every
	// replica. Default 2.
	LedgerShards int `yaml:"ledger_shards" validate:"min=1,max=64"`
	// HeartbeatInterval is the interval between a leader's heartbeats. Default
	// 100ms.
	HeartbeatInterval time.Duration `yaml:"heartbeat" validate:"min=10ms,max=5s"`
	// ElectionTimeout is the minimum election timeout, at least three heartbeat
	// intervals. Default 400ms.
	ElectionTimeout time.Duration `yaml:"election" validate:"min=30ms,max=15s"`
}

// Limits bounds what one caller may send.
type Limits struct {
	// BodyBytes is the largest request body in bytes. Default 1 MiB.
	BodyBytes int64 `yaml:"body" validate:"min=1,max=1073741824"`
	// HeaderBytes is the largest request header in bytes. Default 16 KiB.
	HeaderBytes int `yaml:"header" validate:"min=1024,max=1048576"`
	// Connections is the maximum number of open connections of all listeners. No more
	// are open than MemoryBytes has room for. Default 4096.
	Connections int `yaml:"connections" validate:"min=1,max=1000000"`
	// MemoryBytes is the memory that the process may use, in bytes, with the data that
	// clients have sent and it has not read. It bounds what clients can make the process
	// hold. Default 256 MiB.
	MemoryBytes int64 `yaml:"memory" validate:"min=33554432,max=1099511627776"`
}

// Log holds the settings of the log output.
type Log struct {
	// Format is json or console. Default json.
	Format string `yaml:"format" validate:"oneof=json console"`
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}
