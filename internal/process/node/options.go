package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/relay"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Options are the parameters of a Node. A node has the traffic role, the
// control role, or both.
type Options struct {
	// Instance is the name of this process, which is unique in the system.
	Instance      string
	FailureDomain string
	// Address is the IP address of this process's instance.
	Address string
	// Seeds are the control addresses of possible replicas. See Node.SetSeeds.
	Seeds []string
	// Traffic, if set, makes this process serve a local target.
	Traffic *Traffic
	// Control, if set, makes this process a control replica.
	Control *Control
	// Handlers are additional HTTP listeners by address. Each function creates
	// the handler once the node exists.
	Handlers map[string]func(*Node) http.Handler
	// Bounds are those of the deployment.
	Bounds Bounds
	// ShutdownTimeout is the maximum duration of a graceful shutdown.
	ShutdownTimeout time.Duration
	// MemoryLimit is the amount of memory that the process may use, in bytes. 0
	// means no limit.
	MemoryLimit int64
	// Descriptors is the number of file descriptors that the process may use. 0 means no
	// limit.
	Descriptors int
	Log         *zap.Logger
}

// Traffic configures the traffic role.
type Traffic struct {
	// Service is the service of the local target, Target its address.
	Service string
	Target  string
	// Entry is the address at which callers and the local target send requests.
	// Peer is the address at which other daemons forward requests to this one.
	Entry string
	Peer  string
	// Heartbeat is the interval of the target's heartbeats.
	Heartbeat   time.Duration
	HeaderNames relay.HeaderNames
	// RetryRatio, RetryWindow and RetrySlack bound retries. See
	// retrybudget.Options.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverage multiplies the rate that a service states for its cold targets.
	// The product is the rate at which a cold target gets requests. 0 means 1.
	ColdOverage float64
}

// Control configures the control role.
type Control struct {
	// Listen is the address at which other processes of the system connect.
	Listen string
	// DataDir is the data directory.
	DataDir string
	// Founder makes this replica found the group when it first starts.
	Founder bool
	// ToleratedLosses is the number of data directories that may be lost at the
	// same time.
	ToleratedLosses int
	// Operators is the address, among Options.Handlers, of the calls whose age CallAge
	// bounds. It may be empty.
	Operators string
	// ReadSource reads the texts of full configurations; see configuration.Machine. It may
	// be nil.
	ReadSource version.SourceReader
}

// Validate returns a SettingsInvalid error if the options are incomplete or
// invalid.
func (o *Options) Validate() error {
	switch {
	case o.Instance == "":
		return fault.New(fault.SettingsInvalid, "the instance name is missing")
	case o.FailureDomain == "":
		return fault.New(fault.SettingsInvalid, "the failure domain of %s is missing", o.Instance)
	case o.Traffic == nil && o.Control == nil:
		return fault.New(fault.SettingsInvalid, "%s has neither the traffic role nor the control role", o.Instance)
	case len(o.Seeds) == 0:
		return fault.New(fault.SettingsInvalid, "%s has no control address of a replica", o.Instance)
	}
	if err := o.Traffic.validate(o.Instance); err != nil {
		return err
	}
	if c := o.Control; c != nil && (c.Listen == "" || c.DataDir == "") {
		return fault.New(fault.SettingsInvalid, "the control role of %s needs an address and a data directory", o.Instance)
	}
	return nil
}

// validate checks the options of the traffic role. A nil t is valid.
func (t *Traffic) validate(instance string) error {
	switch {
	case t == nil:
		return nil
	case t.Service == "" || t.Target == "" || t.Entry == "" || t.Peer == "":
		return fault.New(fault.SettingsInvalid, "the traffic role of %s needs a service, a target, an entry and a peer address", instance)
	case t.ColdOverage < 0:
		return fault.New(fault.SettingsInvalid, "the cold overage %g of %s is negative", t.ColdOverage, instance)
	}
	return nil
}
