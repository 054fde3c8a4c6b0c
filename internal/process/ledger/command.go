// Package ledger keeps the record of requests that run at most once: on
// control replicas as a replicated state machine, on daemons as a client.
//
// A key is granted once, to one attempt, for as long as its record is kept
// (Limits.Retention). An attempt that was released or canceled is fenced: a
// claim of it that arrives later is refused, so it is never dispatched.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Command is one replicated command.
type Command struct {
	// Now is the time at the leader in nanoseconds, from Clock. The machine
	// never moves back: it takes the highest time that it has seen.
	Now     int64                `cbor:"1,keyasint"`
	Request protocol.OnceRequest `cbor:"2,keyasint"`
}

// EncodeCommand returns the command for request as the leader proposes it.
func EncodeCommand(now time.Duration, request protocol.OnceRequest) ([]byte, error) {
	b, err := canonical.Marshal(Command{Now: int64(now), Request: request})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a ledger command")
	}
	return b, nil
}

// DecodeReply reads what Machine.Apply returned.
func DecodeReply(b []byte) (protocol.OnceReply, error) {
	var r protocol.OnceReply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return protocol.OnceReply{}, fault.Wrap(fault.Internal, err, "decode a ledger reply")
	}
	return r, nil
}

// ShardOf returns the shard of key, from 0 to shards-1.
func ShardOf(key protocol.OnceKey, shards int) int {
	d := xxhash.New()
	for _, part := range []string{key.Team, key.Service, key.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return int(d.Sum64() % uint64(max(shards, 1)))
}

// reply is protocol.OnceReply with the answer in its stored form.
type reply struct {
	State  protocol.OnceState `cbor:"1,keyasint"`
	Holder string             `cbor:"2,keyasint,omitempty"`
	Since  time.Duration      `cbor:"3,keyasint,omitempty"`
	Answer cbor.RawMessage    `cbor:"4,keyasint,omitempty"`
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
