package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 400 * time.Millisecond
	DefaultSnapshotEvery     = 1024
)

// minElectionHeartbeats is the least number of heartbeat intervals in an
// election timeout.
const minElectionHeartbeats = 2

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends message to the replica at address. Delivery is best effort:
	// messages may be dropped, duplicated or reordered. Send never blocks and
	// must not modify the message.
	Send(address string, message Message)
}

// Options are the parameters of a Node.
type Options struct {
	// Group is the name of the group, the same on all its replicas.
	Group string
	// Dir is the data directory of this replica. It must not be shared with
	// another replica or group.
	Dir string
	// OpenDisk opens the data directory. Default: storage.OpenDirectory.
	OpenDisk func(dir string) (storage.Disk, error)
	// Address is where the other replicas reach this replica.
	Address   string
	Machine   Machine
	Transport Transport
	// Logger is optional.
	Logger *zap.Logger
	// HeartbeatInterval is the interval at which a leader sends messages even
	// if it has nothing to replicate. Default 100 ms.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout; each timeout is drawn
	// at random between one and two times this value. A leader that has had no
	// quorum for this long steps down. Default 400 ms.
	ElectionTimeout time.Duration
	// SnapshotEvery is the least number of entries between two snapshots.
	// Default 1024.
	SnapshotEvery uint64
	// SegmentSize is the size of a segment file of the log, in bytes. Default
	// 4 MiB.
	SegmentSize int64
	// appendBytes limits the entries in one message and chunkBytes the part of
	// a snapshot in one message.
	appendBytes, chunkBytes int
}

func (o *Options) setDefaults() {
	if o.OpenDisk == nil {
		o.OpenDisk = func(dir string) (storage.Disk, error) { return storage.OpenDirectory(dir) }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
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
		return fault.New(fault.SettingsInvalid, "replica options are incomplete: group, data directory, address, state machine and transport are required")
	}
	if o.HeartbeatInterval < 0 || o.ElectionTimeout < minElectionHeartbeats*o.HeartbeatInterval {
		return fault.New(fault.SettingsInvalid, "the election timeout %s must be at least %d heartbeat intervals of %s, and the interval must not be negative", o.ElectionTimeout, minElectionHeartbeats, o.HeartbeatInterval)
	}
	return nil
}
