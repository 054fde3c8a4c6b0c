package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/relay"
)

// Options are the parameters of a Node. A node has the traffic role, the
// control role, or both.
type Options struct {
	// Instance is the name of this process, unique in the system.
	Instance      string
	FailureDomain string
	// Address is the IP address of this process's instance.
	Address string
	// Seeds are the control addresses at which replicas may be found; see
	// Node.SetSeeds.
	Seeds []string
	// Traffic, where set, serves the target beside this process.
	Traffic *Traffic
	// Control, where set, makes this process a control replica.
	Control *Control
	// Handlers are further listeners, by address; their handlers are made once
	// the node exists.
	Handlers map[string]func(*Node) http.Handler
	// Leave is how long a graceful shutdown may take.
	Leave time.Duration
	// MemoryLimit is the memory that the process may use, in bytes; 0 sets none.
	MemoryLimit int64
	Log         *zap.Logger
}

// Traffic is the role beside a target.
type Traffic struct {
	// Service and Target name the target: its service and its address.
	Service string
	Target  string
	// Entry is where callers and the target of this instance send requests,
	// Peer where other daemons hand them on.
	Entry string
	Peer  string
	// Heartbeat is the time between two heartbeats of the target.
	Heartbeat time.Duration
	Names     relay.HeaderNames
	// RetryRatio, RetryWindow and RetrySlack bound repeats; see budget.Options.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverage is how many times the rate that its service states a cold
	// target may get. Default 1.
	ColdOverage float64
}

// Control is the role of a control replica.
type Control struct {
	// Listen is the address for other processes of the system.
	Listen string
	// Folder is the data folder.
	Folder string
	// Founder makes this replica found the group at the first start.
	Founder bool
	// Losses is the number of data folders that may be lost at once.
	Losses int
}

// Validate returns a SettingsInvalid error for options that cannot work.
func (o *Options) Validate() error {
	switch {
	case o.Instance == "":
		return fault.New(fault.SettingsInvalid, "the instance has no name")
	case o.FailureDomain == "":
		return fault.New(fault.SettingsInvalid, "the failure domain of %s is missing", o.Instance)
	case o.Traffic == nil && o.Control == nil:
		return fault.New(fault.SettingsInvalid, "%s has neither the traffic role nor the control role", o.Instance)
	case len(o.Seeds) == 0:
		return fault.New(fault.SettingsInvalid, "%s is told no control address", o.Instance)
	}
	if err := o.Traffic.validate(o.Instance); err != nil {
		return err
	}
	if c := o.Control; c != nil && (c.Listen == "" || c.Folder == "") {
		return fault.New(fault.SettingsInvalid, "the control role of %s needs an address and a data folder", o.Instance)
	}
	return nil
}

// validate checks the traffic role, where there is one.
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
