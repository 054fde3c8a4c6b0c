// Package ledger records the requests that must run at most once. It contains the
// replicated state machine for control replicas and the client for daemons.
//
// A key is granted once, to one attempt, for as long as its record is kept
// (Limits.Retention). An attempt that was released or canceled is fenced: a later
// claim by this attempt is rejected, so the attempt is never dispatched.
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
	// Now is the leader's time in nanoseconds, from Clock. The state machine's time
	// never goes back: it is the highest time in any command so far.
	Now     int64                `cbor:"1,keyasint"`
	Request protocol.OnceRequest `cbor:"2,keyasint"`
}

// EncodeCommand returns the encoded command that the leader proposes for request.
// Errors: Internal.
func EncodeCommand(now time.Duration, request protocol.OnceRequest) ([]byte, error) {
	b, err := canonical.Marshal(Command{Now: int64(now), Request: request})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode ledger command")
	}
	return b, nil
}

// DecodeReply decodes a result of Machine.Apply. Errors: Internal.
func DecodeReply(b []byte) (protocol.OnceReply, error) {
	var r protocol.OnceReply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return protocol.OnceReply{}, fault.Wrap(fault.Internal, err, "decode ledger reply")
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

// reply is a protocol.OnceReply whose response is still in its stored encoding.
type reply struct {
	State    protocol.OnceState `cbor:"1,keyasint"`
	Holder   string             `cbor:"2,keyasint,omitempty"`
	Since    time.Duration      `cbor:"3,keyasint,omitempty"`
	Response cbor.RawMessage    `cbor:"4,keyasint,omitempty"`
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
