package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Defaults of Options.
const (
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultElection      = 400 * time.Millisecond
	DefaultSnapshotEvery = 1024
)

// minElectionHeartbeats is the least number of heartbeats in an election
// timeout.
const minElectionHeartbeats = 2

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends message to the replica at address. It is best effort: it never
	// blocks, and may drop, duplicate or reorder. It must not change the message.
	Send(address string, message Message)
}

// Options are the parameters of a Node.
type Options struct {
	// Group is the name of the group, the same on all its replicas.
	Group string
	// Dir is the data folder of this replica of this group alone.
	Dir string
	// OpenDisk opens the data folder. Default: storage.OpenDirectory.
	OpenDisk func(dir string) (storage.Disk, error)
	// Address is where the other replicas reach this one.
	Address   string
	Machine   Machine
	Transport Transport
	// Logger is optional.
	Logger *zap.Logger
	// Heartbeat is the time between two messages of a leader that has nothing
	// to replicate. Default 100 ms.
	Heartbeat time.Duration
	// Election is the shortest election timeout; each is drawn between one and
	// two times Election. A leader without a quorum for Election steps down.
	// Default 400 ms.
	Election time.Duration
	// SnapshotEvery is the least number of entries between two snapshots.
	// Default 1024.
	SnapshotEvery uint64
	// SegmentSize is the size of a file of the log, in bytes. Default 4 MiB.
	SegmentSize int64
	// appendBytes bounds the entries of one message, chunkBytes the part of a
	// snapshot in one message.
	appendBytes, chunkBytes int
}

func (o *Options) setDefaults() {
	if o.OpenDisk == nil {
		o.OpenDisk = func(dir string) (storage.Disk, error) { return storage.OpenDirectory(dir) }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Election == 0 {
		o.Election = DefaultElection
	}
	if o.appendBytes == 0 {
		o.appendBytes = maxAppendBytes
	}
	if o.chunkBytes == 0 {
		o.chunkBytes = maxChunkBytes
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
}

func (o *Options) check() error {
	if o.Group == "" || o.Dir == "" || o.Address == "" || o.Machine == nil || o.Transport == nil {
		return fault.New(fault.SettingsInvalid, "a replica needs a group, a data folder, an address, a machine and a transport")
	}
	if o.Heartbeat < 0 || o.Election < minElectionHeartbeats*o.Heartbeat {
		return fault.New(fault.SettingsInvalid, "the election timeout %s is below %d heartbeats of %s", o.Election, minElectionHeartbeats, o.Heartbeat)
	}
	return nil
}
