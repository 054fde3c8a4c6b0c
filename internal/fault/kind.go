// Package fault holds the closed list of error kinds and the table that maps
// each kind to the response that a caller receives.
//
// Invariant: a kind whose outcome is NotRun is returned only where no target
// can have received the request.
package fault

// Kind is the kind of an error. The list is closed: every error that leaves a
// process has exactly one of these kinds.
type Kind string

// Kinds for requests from callers and targets.
const (
	// BadRequest is a malformed request.
	BadRequest Kind = "bad_request"
	// TooLarge is a request whose body or header exceeds its limit.
	TooLarge Kind = "too_large"
	// UnknownRoute is a path for which no route is in effect.
	UnknownRoute Kind = "unknown_route"
	// Unauthenticated is a request to a keyed route without a key in effect.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden is a call that the caller's role does not permit.
	Forbidden Kind = "forbidden"
	// QuotaExceeded is a request of a team above its rate and burst.
	QuotaExceeded Kind = "quota_exceeded"
	// QuotaUnavailable is a keyed request for which no quota issuer replied.
	QuotaUnavailable Kind = "quota_unavailable"
	// Overloaded is a request that was shed before it was dispatched.
	Overloaded Kind = "overloaded"
	// TargetCold is a request rejected during the cold start of the target.
	TargetCold Kind = "target_cold"
	// Quarantined is a request whose content has crashed several targets.
	Quarantined Kind = "quarantined"
	// TargetLeaving is a request rejected because the target is in the state leaving.
	TargetLeaving Kind = "target_leaving"
	// OutOfService is a request rejected because the operators took the target
	// or its failure domain out of service.
	OutOfService Kind = "out_of_service"
	// NoTarget is a request to a service without a usable target.
	NoTarget Kind = "no_target"
	// LeaseExpired is a keyed request rejected because the configuration in
	// effect could not be confirmed within the freshness lease.
	LeaseExpired Kind = "lease_expired"
	// DeadlineNotRun is a request whose deadline passed before dispatch.
	DeadlineNotRun Kind = "deadline_not_run"
	// DeadlineUnknown is a request whose deadline passed after dispatch.
	DeadlineUnknown Kind = "deadline_unknown"
	// DepthExceeded is a call chain deeper than the limit.
	DepthExceeded Kind = "depth_exceeded"
	// ConnectFailed is a peer or target that could not be connected to.
	ConnectFailed Kind = "connect_failed"
	// ConnectionLost is a connection that broke after the request was sent.
	ConnectionLost Kind = "connection_lost"
	// AnswerBroken is a response that ended before it was complete.
	AnswerBroken Kind = "answer_broken"
	// AnswerTooLarge is a response to a once request that exceeds the storage
	// limit.
	AnswerTooLarge Kind = "answer_too_large"
	// CallerGone is a request that the caller canceled, for example by closing
	// its connection.
	CallerGone Kind = "caller_gone"
	// HandleUnknown is an egress call without the handle of an in-flight request.
	HandleUnknown Kind = "handle_unknown"
	// OnceKeyMissing is a request to a once route without an Idempotency-Key.
	OnceKeyMissing Kind = "once_key_missing"
	// OnceConflict is a request whose Idempotency-Key was already used with other
	// content.
	OnceConflict Kind = "once_conflict"
	// OnceUnknown is a once request that was dispatched and whose response is
	// not known; it is never run again.
	OnceUnknown Kind = "once_unknown"
	// OnceCanceled is an attempt that was fenced before it was dispatched.
	OnceCanceled Kind = "once_canceled"
	// LedgerUnavailable is a once request that could not be claimed in the ledger.
	LedgerUnavailable Kind = "ledger_unavailable"
	// LedgerUnknown is a claim in the ledger whose reply was lost.
	LedgerUnknown Kind = "ledger_unknown"
	// ShuttingDown is a request to a process that no longer accepts requests.
	ShuttingDown Kind = "shutting_down"
	// Interrupted is a request that a target may have received, and that a process on
	// its way broke off because it stops.
	Interrupted Kind = "interrupted"
	// Internal is a failure inside the process.
	Internal Kind = "internal"
)

// Kinds for operators and for the control replicas.
const (
	// NoteInvalid is a release note that fails validation.
	NoteInvalid Kind = "note_invalid"
	// NoteGap is a release note that does not directly follow the one in effect.
	NoteGap Kind = "note_gap"
	// NoteConflict is a release note whose number was already accepted with other
	// content.
	NoteConflict Kind = "note_conflict"
	// RevisionConflict is a full configuration that builds on another revision
	// than the one in effect.
	RevisionConflict Kind = "revision_conflict"
	// OrderOutdated is an order about a failure domain that does not build on its current
	// generation, a membership change that does not build on the current members, or a
	// request that may have waited for too long. This sending has not been accepted and never
	// will be.
	OrderOutdated Kind = "order_outdated"
	// NoLeader is a command to a replica group without a reachable leader; it may
	// or may not have been accepted, and may be sent again.
	NoLeader Kind = "no_leader"
	// NotLeader is a command sent to a replica that is not the leader; it was not
	// accepted.
	NotLeader Kind = "not_leader"
	// NotInEffect is an order that was accepted and is not known to be in effect on all
	// daemons yet; it may be sent again.
	NotInEffect Kind = "not_in_effect"
	// NotFounded is a replica that belongs to no group yet.
	NotFounded Kind = "not_founded"
	// AlreadyFounded is a second attempt to found a group.
	AlreadyFounded Kind = "already_founded"
	// MembershipBusy is a membership change requested during another one.
	MembershipBusy Kind = "membership_busy"
	// SettingsInvalid is a settings file that fails validation.
	SettingsInvalid Kind = "settings_invalid"
	// StorageFailed is a failed write or sync; the process must exit.
	StorageFailed Kind = "storage_failed"
	// Damaged is stored data that fails its checksum before the end of the log.
	Damaged Kind = "damaged"
)
