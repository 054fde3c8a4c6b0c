// Package protocol defines the messages that processes exchange over JSON-RPC 2.0 with
// mutual TLS: between daemons and control replicas, between replicas, and between the
// operators' command and replicas.
package protocol

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// RPC methods of daemons and control replicas.
const (
	MethodRenew   = "control.renew"
	MethodDepart  = "control.depart"
	MethodCrashes = "control.crashes"
	MethodApply   = "control.apply"
	MethodPlan    = "control.plan"
	MethodExport  = "control.export"
	MethodStatus  = "control.status"
	MethodFound   = "control.found"
	MethodTicket  = "control.found_ticket"
	MethodAdmit   = "control.admit"
	MethodRemove  = "control.remove"
	MethodOrder   = "control.order"
	MethodDomain  = "control.domain"
	MethodJoin    = "control.join"
	MethodOnce    = "once.command"
	MethodReplica = "replica.message"
	MethodSync    = "registry.sync"
	MethodEvents  = "events.read"
)

// TargetState is the state that a target reports in its announcements.
type TargetState string

// States of a target.
const (
	Cold    TargetState = "cold"
	Warm    TargetState = "warm"
	Leaving TargetState = "leaving"
)

// Announcement is the message that a target sends to its local daemon.
type Announcement struct {
	Service string `json:"service"`
	// Address is the loopback address of the target, as host:port.
	Address string `json:"address"`
	// Incarnation is different for each start of the target process.
	Incarnation string `json:"incarnation"`
	// Slots is the number of requests that the target can run concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
}

// TargetRecord is the entry of one usable target in the registry, as daemons receive it
// from the replicas.
type TargetRecord struct {
	Service string `json:"s"`
	// Instance is the instance name of the target's daemon.
	Instance string `json:"i"`
	// PeerAddress is the address on which that daemon accepts peer links, as IP:port.
	PeerAddress   string      `json:"a"`
	FailureDomain string      `json:"d"`
	State         TargetState `json:"t"`
	Slots         int         `json:"n"`
	// Incarnation identifies the start of the target process; see Announcement.
	Incarnation string `json:"x,omitempty"`
	// DaemonLeaving is true if the daemon is shutting down. Its record remains until it
	// expires.
	DaemonLeaving bool `json:"l,omitempty"`
}

// RegistryDelta contains the registry changes for the subscribed services.
type RegistryDelta struct {
	// Epoch identifies the replica's registry instance. If Epoch has changed or Full is
	// true, the receiver replaces all of its records.
	Epoch   string         `json:"e"`
	Version uint64         `json:"v"`
	Full    bool           `json:"f,omitempty"`
	Upserts []TargetRecord `json:"u,omitempty"`
	// Removes are "service/instance" pairs.
	Removes []string `json:"r,omitempty"`
}

// QuotaRequest requests tokens of one team.
type QuotaRequest struct {
	Team string `json:"t"`
	// Want is the number of tokens that the holder expects to need until the next
	// renewal.
	Want int `json:"w"`
	// Waiting is the number of requests that are currently waiting for a token.
	Waiting int `json:"n,omitempty"`
	// Sequence increases with each token request of one holder, so that a repeated or
	// delayed one is granted at most once.
	Sequence uint64 `json:"q"`
	// Spent is the number of the team's tokens that the holder has spent since its
	// start.
	Spent uint64 `json:"s,omitempty"`
	// Remaining is the number of tokens that the holder still has. It gives up all
	// other tokens of earlier token requests, including grants that have not arrived.
	Remaining int `json:"k,omitempty"`
	// Immediate is the part of Waiting for which the holder accepts tokens that it
	// can spend only at once; see QuotaGrant. Holders of earlier builds accept none.
	Immediate int `json:"i,omitempty"`
	// RoundTrip is how long the holder's token requests have lately taken, in
	// milliseconds. It is unset below the TTL that immediate tokens have at least.
	RoundTrip int64 `json:"rt,omitempty"`
	// Renewal is true for a request that is part of a renewal. Only these report a
	// standing rate, and get one.
	Renewal bool `json:"r,omitempty"`
	// Standing and StandingTotal are what the last QuotaGrant with a standing rate said.
	Standing      float64 `json:"sr,omitempty"`
	StandingTotal float64 `json:"st,omitempty"`
}

// QuotaGrant is the reply to a token request of one team.
type QuotaGrant struct {
	Team     string `json:"t"`
	Sequence uint64 `json:"q"`
	Tokens   int    `json:"n"`
	// TTL is the time for which the tokens are valid, measured by the holder from the
	// time at which it sent the request. It is 0 if there are no tokens.
	TTL time.Duration `json:"l,omitempty"`
	// AtLimit is true if the team is at its limit, so that an immediate further
	// request would be useless.
	AtLimit bool `json:"f,omitempty"`
	// Immediate is the number of further tokens, which are valid for ImmediateTTL
	// only. They count as spent from the start: the holder neither reports them nor
	// gives them back.
	Immediate    int           `json:"i,omitempty"`
	ImmediateTTL time.Duration `json:"il,omitempty"`
	// Wait is, for a team at its limit, the time in which the refill covers all
	// requests that wait for a token anywhere.
	Wait time.Duration `json:"w,omitempty"`
	// NothingToSpare is true if a ready issuer handled the request, but has no tokens
	// for future requests. Issuers of earlier builds do not set it.
	NothingToSpare bool `json:"o,omitempty"`
	// Standing is the rate, in tokens per second, at which the holder may spend without
	// an issuer if none replies. It is set in the reply to a renewal. The standing rates
	// of all holders add up to StandingTotal, at most the team's rate.
	Standing      float64 `json:"sr,omitempty"`
	StandingTotal float64 `json:"st,omitempty"`
}

// RenewRequest is sent by a daemon to one control replica, once per renewal interval
// and whenever the daemon needs tokens.
type RenewRequest struct {
	// Instance is the instance name of the daemon.
	Instance string `json:"i"`
	// Session is random for each start of the daemon.
	Session       string `json:"x"`
	PeerAddress   string `json:"a,omitempty"`
	FailureDomain string `json:"d,omitempty"`
	// Version and Digest identify the configuration state that the daemon has.
	Version uint64 `json:"v,omitempty"`
	Digest  string `json:"h,omitempty"`
	// Targets are the current announcements of the daemon's local targets.
	Targets       []Announcement `json:"t,omitempty"`
	DaemonLeaving bool           `json:"l,omitempty"`
	// Subscriptions are the services whose targets the daemon needs to know.
	Subscriptions []string `json:"s,omitempty"`
	// ContentOnly says that the daemon needs the content of the configuration only,
	// and that Digest is a content digest; see version.Update.
	ContentOnly bool `json:"co,omitempty"`
	// RegistryEpoch and RegistryVersion identify the registry state that the daemon has.
	RegistryEpoch   string         `json:"re,omitempty"`
	RegistryVersion uint64         `json:"rv,omitempty"`
	Quota           []QuotaRequest `json:"q,omitempty"`
	// QuotaOnly is true for a message between two renewals that only requests tokens.
	// All fields except Instance, Session and Quota are then unset.
	QuotaOnly bool `json:"qo,omitempty"`
	// Crashes are crashes of the local target that the replica does not know yet.
	// Completed are fingerprints of requests that were lost and have completed since.
	Crashes   []CrashReport `json:"cr,omitempty"`
	Completed []uint64      `json:"cc,omitempty"`
	// Familiar are fingerprints of requests that were lost, and that had completed here
	// before.
	Familiar []uint64 `json:"fm,omitempty"`
	// Refused are quarantined requests that this daemon has refused since the last
	// renewal.
	Refused []uint64 `json:"rf,omitempty"`
	// QuarantineEpoch and QuarantineVersion identify the list of quarantined requests
	// that the daemon has.
	QuarantineEpoch   string `json:"qe,omitempty"`
	QuarantineVersion uint64 `json:"qv,omitempty"`
}

// RenewReply is the reply to a RenewRequest.
type RenewReply struct {
	// Confirmed is true if the replica confirmed with a quorum, after it received the
	// renewal, that Version is the version in effect. Only then does the daemon renew
	// its freshness lease.
	Confirmed bool   `json:"c,omitempty"`
	Version   uint64 `json:"v,omitempty"`
	Digest    string `json:"h,omitempty"`
	// Notes are the accepted release notes after the daemon's version up to Version, in
	// order and encoded as CBOR. Notes is empty if the daemon is up to date or Snapshot
	// is set.
	Notes [][]byte `json:"n,omitempty"`
	// Snapshot is the complete state, encoded as CBOR. It is sent if Notes would be
	// longer, or if the daemon's digest is unknown.
	Snapshot []byte `json:"s,omitempty"`
	// ContentOnly says that Digest is a content digest, and that Updates or Content
	// are sent instead of Notes or Snapshot, as requested. Updates are the updates
	// after the daemon's version in order, Content is the complete content; both are
	// encoded by package version.
	ContentOnly bool           `json:"co,omitempty"`
	Updates     [][]byte       `json:"u,omitempty"`
	Content     []byte         `json:"ct,omitempty"`
	Registry    *RegistryDelta `json:"r,omitempty"`
	Quota       []QuotaGrant   `json:"q,omitempty"`
	// Departed are the incarnations that daemons of the instance have recorded with
	// MethodDepart. It is set for a daemon without a configuration, which has just
	// started.
	Departed []string `json:"dp,omitempty"`
	// Quarantine is nil if the daemon has the current list.
	Quarantine *QuarantineUpdate `json:"qn,omitempty"`
	// Replicas are the control addresses of the members that the replica knows.
	Replicas []string `json:"m,omitempty"`
	// ReplicaDomains are the failure domains of Replicas, in the same order and ""
	// where one is unknown.
	ReplicaDomains []string `json:"md,omitempty"`
}

// DepartTimeout is the time limit of one call of MethodDepart.
const DepartTimeout = 300 * time.Millisecond

// DepartRequest records that targets leave.
type DepartRequest struct {
	// Instance is the instance name of the daemon.
	Instance string `json:"i"`
	// Incarnations are those of the targets.
	Incarnations []string `json:"t"`
}

// OrderRequest contains one order in its canonical CBOR encoding.
type OrderRequest struct {
	Order []byte `json:"order"`
}

// JoinRequest is sent by a replica to become a member of the replica groups.
type JoinRequest struct {
	// Address is the control address of the joining replica, as IP:port.
	Address string `json:"address"`
	// ID is the ID of the joining replica in the configuration group.
	ID string `json:"id"`
}

// ApplyRequest contains one release note to be accepted.
type ApplyRequest struct {
	// Note is the YAML text of the release note.
	Note []byte `json:"note"`
}

// ApplyReply identifies the note that has been accepted under Number.
type ApplyReply struct {
	Number uint64 `json:"number"`
	// Digest is the digest of the accepted note.
	Digest string `json:"digest"`
	// Repeated is true if the same note had already been accepted.
	Repeated bool `json:"repeated"`
}

// PlanReply lists the changes that a note would make.
type PlanReply struct {
	Number  uint64           `json:"number"`
	Changes []version.Change `json:"changes"`
}

// ExportReply contains the state in effect, as one release note that recreates it.
type ExportReply struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Note   []byte `json:"note"`
}

// DaemonStatus is the status of one daemon, as known to a replica.
type DaemonStatus struct {
	Instance      string         `json:"instance"`
	FailureDomain string         `json:"failure_domain"`
	PeerAddress   string         `json:"peer_address"`
	Version       uint64         `json:"version"`
	RenewedAgo    time.Duration  `json:"renewed_ago"`
	Leaving       bool           `json:"leaving"`
	Targets       []Announcement `json:"targets"`
}

// RoleLeader is the value of ReplicaStatus.Role for the leader of a group.
const RoleLeader = "leader"

// ReplicaStatus is the status of one member of one replica group.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Group   string `json:"group"`
	// Role is leader, follower, candidate, learner or unfounded.
	Role string `json:"role"`
	// Leader is the address of the leader; empty if the replica knows none.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Commit and Applied are the indexes of the last committed and the last applied
	// entry.
	Commit  uint64         `json:"commit"`
	Applied uint64         `json:"applied"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is one member of a replica group.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	// Match is the index of the last entry that the member is known to hold durably; 0
	// if the replica does not know.
	Match uint64 `json:"match"`
	// Silent is the time since the leader last received a reply from the member. It is 0
	// if the replica is not the leader.
	Silent time.Duration `json:"silent,omitempty"`
}

// StatusReply is the status that one control replica reports.
type StatusReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Confirmed is true if Version was confirmed with a quorum.
	Confirmed bool            `json:"confirmed"`
	Replicas  []ReplicaStatus `json:"replicas"`
	Daemons   []DaemonStatus  `json:"daemons"`
	// InEffect is true if every daemon that renewed within the last lease interval has
	// reported Version, and one lease interval has passed since it was accepted.
	InEffect bool `json:"in_force"`
}

// DomainRequest asks for the state of one failure domain.
type DomainRequest struct {
	Name string `json:"name"`
}

// DomainReply is the state of a failure domain, which a quorum confirmed.
type DomainReply struct {
	InService bool `json:"in_service"`
	// Generation is what an order about the failure domain has to name; see
	// version.Order.
	Generation uint64 `json:"generation"`
}

// TicketReply contains a ticket for a FoundRequest to the same replica.
type TicketReply struct {
	Ticket string `json:"ticket"`
}

// FoundRequest founds the replica groups, with the receiving replica as the only
// member.
type FoundRequest struct {
	// Ticket is the last ticket that the replica issued.
	Ticket string `json:"ticket"`
}

// FoundReply contains the ID of the founder.
type FoundReply struct {
	ID string `json:"id"`
}

// AdmitRequest admits a new replica. The replica becomes a learner first, and a voter
// once it has caught up and has stored the whole log.
type AdmitRequest struct {
	// Address is the control address of the new replica, as IP:port.
	Address string `json:"address"`
	// Group limits the change to one group; empty means all.
	Group string `json:"group,omitempty"`
	// AsOf holds, by group, the index up to which the sender knows the members: the Commit
	// of a ReplicaStatus. A later change voids the request, which may arrive late.
	AsOf map[string]uint64 `json:"as_of"`
}

// RemoveRequest removes a replica from the groups.
type RemoveRequest struct {
	// ID is the ID of the replica in a group, or its control address.
	ID string `json:"id"`
	// Group limits the change to one group; empty means all.
	Group string `json:"group,omitempty"`
	// AsOf is that of AdmitRequest.
	AsOf map[string]uint64 `json:"as_of"`
}

// ReplicaMessages contains messages between members of replica groups. Package replica
// defines their encoding.
type ReplicaMessages struct {
	Messages [][]byte `json:"m"`
}

// OnceCall contains one ledger command for the replicas of a shard.
type OnceCall struct {
	Shard   int         `json:"shard"`
	Request OnceRequest `json:"request"`
}

// Empty is a reply without content.
type Empty struct{}

// Event is one entry of the event timeline.
type Event struct {
	// Wall and Logical are the time stamp of a hybrid logical clock: Wall is its
	// physical part, in nanoseconds since the Unix epoch, and Logical its counter.
	Wall    int64  `json:"wall"`
	Logical uint32 `json:"logical"`
	// Process is the instance name of the process that recorded the event.
	Process string `json:"process"`
	// Name is the event type, such as "request.dispatch".
	Name    string `json:"name"`
	Request string `json:"request,omitempty"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// EventsRequest reads the events in the ring buffer of one process. Empty fields match
// all events.
type EventsRequest struct {
	Request string `json:"request,omitempty"`
	Team    string `json:"team,omitempty"`
	Target  string `json:"target,omitempty"`
}

// EventsReply contains the matching events, oldest first.
type EventsReply struct {
	Events []Event `json:"events"`
	// Dropped is the number of events that the ring buffer has overwritten.
	Dropped uint64 `json:"dropped"`
}
