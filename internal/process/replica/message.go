package replica

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Type is the type of a Message.
type Type uint8

// Types of messages.
const (
	// Probe requests the ID of the replica at an address.
	Probe Type = iota + 1
	ProbeReply
	// PreVote asks whether the receiver would vote for the sender, without
	// starting an election.
	PreVote
	PreVoteReply
	// Vote requests a vote.
	Vote
	VoteReply
	// Append replicates entries; without entries it is a heartbeat.
	Append
	AppendReply
	// SnapshotChunk carries one part of a snapshot.
	SnapshotChunk
	SnapshotChunkReply
	// ReadIndex asks the leader for the index that a replica must have applied
	// before it serves a linearizable read.
	ReadIndex
	ReadIndexReply
)

// Message is a message between two replicas of one group. It names the group
// and the IDs of both replicas, so that a replica with a new ID never replies
// for the replica that had its address before.
type Message struct {
	Type  Type   `cbor:"1,keyasint"`
	Group string `cbor:"2,keyasint"`
	// Cluster is the random number that the founder drew for this group. It is
	// 0 in messages of a replica without a group.
	Cluster uint64 `cbor:"3,keyasint,omitempty"`
	// From and To are replica IDs; To is empty only in a Probe.
	From string `cbor:"4,keyasint"`
	To   string `cbor:"5,keyasint,omitempty"`
	// Address is where the sender receives messages.
	Address string `cbor:"6,keyasint,omitempty"`
	// Term is the sender's term. In a PreVote and in a reply that grants it,
	// Term is the term of the election that would follow.
	Term uint64 `cbor:"7,keyasint,omitempty"`
	// Index is a log index whose meaning depends on Type: the entry before
	// Entries, the candidate's last entry, the last entry that the sender
	// holds, the last entry that the snapshot covers, or the read index. In an
	// AppendReply that rejects, it is the last entry up to which the logs may
	// match.
	Index uint64 `cbor:"8,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Digest is the digest of the sender's log up to Index.
	Digest uint64 `cbor:"10,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the rounds in which the leader confirms its leadership, see
	// readRounds. Replies repeat it.
	Round   uint64          `cbor:"12,keyasint,omitempty"`
	Entries []storage.Entry `cbor:"13,keyasint,omitempty"`
	// Reject is true in a reply that rejects the request.
	Reject bool `cbor:"14,keyasint,omitempty"`
	// Previous repeats the Index of the Append that a reply rejects.
	Previous uint64 `cbor:"15,keyasint,omitempty"`
	// Offset is the position of Data in the encoded snapshot and Size is the
	// size of the whole snapshot, in bytes. In a SnapshotChunkReply, Offset is
	// the part of the snapshot that the sender holds.
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
		return nil, fault.Wrap(fault.Internal, err, "encode a message between replicas")
	}
	return b, nil
}

// DecodeMessage decodes a message that Encode encoded. Errors: BadRequest.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Message{}, fault.Wrap(fault.BadRequest, err, "decode a message between replicas")
	}
	if m.Type < Probe || m.Type > ReadIndexReply {
		return Message{}, fault.New(fault.BadRequest, "a message between replicas has the unknown type %d", m.Type)
	}
	return m, nil
}

// outgoingMessage is a message with the address that it is sent to.
type outgoingMessage struct {
	address string
	message Message
}
