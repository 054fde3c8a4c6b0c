package replica

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Type says what a Message is.
type Type uint8

// Types of messages.
const (
	// Probe asks the replica at an address for its id.
	Probe Type = iota + 1
	ProbeReply
	// PreVote asks whether an election could be won, without starting one.
	PreVote
	PreVoteReply
	Vote
	VoteReply
	// Append replicates entries; without entries it is a heartbeat.
	Append
	AppendReply
	// Chunk carries a part of a snapshot.
	Chunk
	ChunkReply
	// ReadIndex asks the leader for an index that is safe to read at.
	ReadIndex
	ReadIndexReply
)

// Message is what replicas of one group send to each other. Each message names
// its group and both ends by id, so that a replica with a new identity never
// answers for the one that had its address before.
type Message struct {
	Type  Type   `cbor:"1,keyasint"`
	Group string `cbor:"2,keyasint"`
	// Cluster is the founder's random number; 0 from a replica without a group.
	Cluster uint64 `cbor:"3,keyasint,omitempty"`
	// From and To are replica ids; To is empty only in a Probe.
	From string `cbor:"4,keyasint"`
	To   string `cbor:"5,keyasint,omitempty"`
	// Address is where the sender takes messages.
	Address string `cbor:"6,keyasint,omitempty"`
	Term    uint64 `cbor:"7,keyasint,omitempty"`
	// Index is the position the message is about: the entry before Entries,
	// the candidate's last entry, the last entry held, the snapshot's end, or
	// the read index.
	Index uint64 `cbor:"8,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Digest is the digest of the sender's log up to Index.
	Digest uint64 `cbor:"10,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the leader's rounds of confirmation; replies repeat it.
	Round   uint64          `cbor:"12,keyasint,omitempty"`
	Entries []storage.Entry `cbor:"13,keyasint,omitempty"`
	// Reject is true in a reply that refuses.
	Reject bool `cbor:"14,keyasint,omitempty"`
	// Previous repeats the Index of the Append that a reply rejects.
	Previous uint64 `cbor:"15,keyasint,omitempty"`
	// Offset and Size place Data within a snapshot, in bytes.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	Size   uint64 `cbor:"17,keyasint,omitempty"`
	Data   []byte `cbor:"18,keyasint,omitempty"`
	// Token links a ReadIndexReply or a ProbeReply to its request.
	Token uint64 `cbor:"19,keyasint,omitempty"`
}

// Encode returns the CBOR form of m.
func (m Message) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a replica message")
	}
	return b, nil
}

// DecodeMessage reads what Encode wrote. Errors: BadRequest.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Message{}, fault.Wrap(fault.BadRequest, err, "decode a replica message")
	}
	if m.Type < Probe || m.Type > ReadIndexReply {
		return Message{}, fault.New(fault.BadRequest, "replica messages of type %d are not known", m.Type)
	}
	return m, nil
}

// outgoing is a message with the address to send it to.
type outgoing struct {
	address string
	message Message
}
