// Package protocol holds the typed messages that processes exchange over
// JSON-RPC 2.0 on mutual TLS: daemons with control replicas, replicas with each
// other, and the operators' command with replicas.
package protocol

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// Methods of the control service.
const (
	MethodRenew   = "control.renew"
	MethodApply   = "control.apply"
	MethodPlan    = "control.plan"
	MethodExport  = "control.export"
	MethodStatus  = "control.status"
	MethodFound   = "control.found"
	MethodAdmit   = "control.admit"
	MethodRemove  = "control.remove"
	MethodOrder   = "control.order"
	MethodJoin    = "control.join"
	MethodOnce    = "once.command"
	MethodReplica = "replica.message"
	MethodSync    = "registry.sync"
	MethodEvents  = "events.read"
)

// TargetState is the state that a target announces.
type TargetState string

// States of a target.
const (
	Cold    TargetState = "cold"
	Warm    TargetState = "warm"
	Leaving TargetState = "leaving"
)

// Announcement is what a target tells the daemon beside it.
type Announcement struct {
	Service string `json:"service"`
	// Address is the loopback address of the target, host:port.
	Address string `json:"address"`
	// Incarnation changes each time the target process starts.
	Incarnation string `json:"incarnation"`
	// Slots is the number of requests the target bears at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the target bears.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
}

// TargetRecord is one usable target as daemons learn of it from the replicas.
type TargetRecord struct {
	Service string `json:"s"`
	// Instance is the name of the daemon beside the target.
	Instance string `json:"i"`
	// PeerAddress is where that daemon accepts peer links, IP:port.
	PeerAddress   string      `json:"a"`
	FailureDomain string      `json:"d"`
	State         TargetState `json:"t"`
	Slots         int         `json:"n"`
	// Incarnation is that of the target process.
	Incarnation string `json:"x,omitempty"`
	// Leaving daemons keep their record until it expires.
	DaemonLeaving bool `json:"l,omitempty"`
}

// RegistryDelta carries changes of the registry for the subscribed services.
type RegistryDelta struct {
	// Epoch names the replica's registry instance; another epoch or Full means
	// that the receiver replaces what it had.
	Epoch   string         `json:"e"`
	Version uint64         `json:"v"`
	Full    bool           `json:"f,omitempty"`
	Upserts []TargetRecord `json:"u,omitempty"`
	// Removes are "service/instance" pairs.
	Removes []string `json:"r,omitempty"`
}

// QuotaAsk asks for tokens of one team.
type QuotaAsk struct {
	Team string `json:"t"`
	// Want is the number of tokens the holder expects to need until the next
	// renewal.
	Want int `json:"w"`
	// Waiting is the number of requests that wait for one of them now.
	Waiting int `json:"n,omitempty"`
	// Sequence rises with each ask of one holder, so that a repeated or delayed
	// ask is granted once.
	Sequence uint64 `json:"q"`
	// Spent is the number of tokens of the team that the holder has spent since
	// its start.
	Spent uint64 `json:"s,omitempty"`
	// Left is the number of tokens that the holder still has. It gives up all
	// others that asks before this one brought, or still would bring.
	Left int `json:"k,omitempty"`
}

// QuotaGrant hands out tokens of one team.
type QuotaGrant struct {
	Team     string `json:"t"`
	Sequence uint64 `json:"q"`
	Tokens   int    `json:"n"`
	// Life is how long the tokens are good, counted by the holder from when it
	// sent the ask.
	Life time.Duration `json:"l"`
	// Final is true where the team is at its limit, so that asking again at
	// once is useless.
	Final bool `json:"f,omitempty"`
}

// RenewRequest is what a daemon sends to one control replica, once a renewal
// interval and whenever it needs tokens.
type RenewRequest struct {
	// Instance is the name of the daemon.
	Instance string `json:"i"`
	// Session is random for each start of the daemon.
	Session       string `json:"x"`
	PeerAddress   string `json:"a"`
	FailureDomain string `json:"d"`
	// Version and Digest name the state that the daemon holds.
	Version uint64 `json:"v"`
	Digest  string `json:"h"`
	// Targets are the announcements of the targets beside the daemon.
	Targets       []Announcement `json:"t,omitempty"`
	DaemonLeaving bool           `json:"l,omitempty"`
	// Subscriptions are the services the daemon calls.
	Subscriptions []string `json:"s,omitempty"`
	// RegistryEpoch and RegistryVersion name what the daemon has of the registry.
	RegistryEpoch   string     `json:"re,omitempty"`
	RegistryVersion uint64     `json:"rv,omitempty"`
	Quota           []QuotaAsk `json:"q,omitempty"`
	// QuotaOnly asks for tokens between two renewals: the rest is unset.
	QuotaOnly bool `json:"qo,omitempty"`
}

// RenewReply answers a renewal.
type RenewReply struct {
	// Confirmed is true where the replica confirmed with a quorum, after it
	// received the renewal, that Version is the version in force. Only then is
	// the freshness lease renewed.
	Confirmed bool   `json:"c"`
	Version   uint64 `json:"v"`
	Digest    string `json:"h"`
	// Notes are the accepted notes from the daemon's version to Version, in
	// order, CBOR; empty where the daemon is current or Snapshot is set.
	Notes [][]byte `json:"n,omitempty"`
	// Snapshot is the whole state, CBOR, sent where Notes would be longer or
	// the daemon's digest is unknown.
	Snapshot []byte         `json:"s,omitempty"`
	Registry *RegistryDelta `json:"r,omitempty"`
	Quota    []QuotaGrant   `json:"q,omitempty"`
	// Replicas are the control addresses of the members, as far as the replica
	// knows them.
	Replicas []string `json:"m,omitempty"`
}

// OrderRequest carries one order in its canonical CBOR form.
type OrderRequest struct {
	Order []byte `json:"order"`
}

// JoinRequest asks to become a member of the replica groups.
type JoinRequest struct {
	// Address is the control address of the asking replica, IP:port.
	Address string `json:"address"`
	// ID is the id of the asking replica in the configuration group.
	ID string `json:"id"`
}

// ApplyRequest carries one release note.
type ApplyRequest struct {
	// Note is the YAML text.
	Note []byte `json:"note"`
}

// ApplyReply says which note is in force under that number.
type ApplyReply struct {
	Number uint64 `json:"number"`
	// Digest is the digest of the accepted note.
	Digest string `json:"digest"`
	// Repeated is true where the same note had been accepted before.
	Repeated bool `json:"repeated"`
}

// PlanReply is the difference a note would make.
type PlanReply struct {
	Number  uint64           `json:"number"`
	Changes []version.Change `json:"changes"`
}

// ExportReply is the state in force as one release note that would recreate it.
type ExportReply struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Note   []byte `json:"note"`
}

// DaemonStatus is what a replica knows of one daemon.
type DaemonStatus struct {
	Instance      string         `json:"instance"`
	FailureDomain string         `json:"failure_domain"`
	PeerAddress   string         `json:"peer_address"`
	Version       uint64         `json:"version"`
	RenewedAgo    time.Duration  `json:"renewed_ago"`
	Leaving       bool           `json:"leaving"`
	Targets       []Announcement `json:"targets"`
}

// RoleLeader is the role of the member that leads a group.
const RoleLeader = "leader"

// ReplicaStatus is the state of one member of one replica group.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Group   string `json:"group"`
	// Role is leader, follower, candidate, learner or unfounded.
	Role    string         `json:"role"`
	Leader  string         `json:"leader"`
	Term    uint64         `json:"term"`
	Commit  uint64         `json:"commit"`
	Applied uint64         `json:"applied"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is one member of a replica group.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	Match   uint64 `json:"match"`
	// Silent is how long the member has not replied, as far as the leader
	// knows; 0 on other replicas.
	Silent time.Duration `json:"silent,omitempty"`
}

// StatusReply is the answer of one control replica.
type StatusReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Confirmed is true where Version was confirmed with a quorum.
	Confirmed bool            `json:"confirmed"`
	Replicas  []ReplicaStatus `json:"replicas"`
	Daemons   []DaemonStatus  `json:"daemons"`
	// InForce is true where every daemon of the last lease interval has
	// reported Version, and one lease has passed since it was accepted.
	InForce bool `json:"in_force"`
}

// FoundRequest founds the replica groups with this replica as only member.
type FoundRequest struct{}

// FoundReply names the founder.
type FoundReply struct {
	ID string `json:"id"`
}

// AdmitRequest admits a new replica: as learner, and as voter once it has
// caught up and stored everything.
type AdmitRequest struct {
	// Address is the control address of the new replica, IP:port.
	Address string `json:"address"`
	// Group limits the change to one group; empty means all.
	Group string `json:"group,omitempty"`
}

// RemoveRequest removes a replica from the groups.
type RemoveRequest struct {
	// ID is the id of the replica in a group, or its control address.
	ID string `json:"id"`
	// Group limits the change to one group; empty means all.
	Group string `json:"group,omitempty"`
}

// ReplicaMessages carries messages between members of replica groups, each in
// the encoding of package replica.
type ReplicaMessages struct {
	Messages [][]byte `json:"m"`
}

// OnceCall carries one ledger command to the replicas of a shard.
type OnceCall struct {
	Shard   int         `json:"shard"`
	Request OnceRequest `json:"request"`
}

// Empty is a reply without content.
type Empty struct{}

// Event is one entry of the time line.
type Event struct {
	// Wall is the hybrid logical clock's physical part, in nanoseconds since
	// 1970, and Logical its counter.
	Wall    int64  `json:"wall"`
	Logical uint32 `json:"logical"`
	// Process is the instance name.
	Process string `json:"process"`
	// Name is the sort of event, such as "request.dispatch".
	Name    string `json:"name"`
	Request string `json:"request,omitempty"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// EventsRequest reads the event ring of one process.
type EventsRequest struct {
	Request string `json:"request,omitempty"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target,omitempty"`
}

// EventsReply holds matching events, oldest first.
type EventsReply struct {
	Events []Event `json:"events"`
	// Dropped is the number of events that the ring has overwritten.
	Dropped uint64 `json:"dropped"`
}
