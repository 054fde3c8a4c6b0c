// Package fault holds the closed list of error kinds and the one table that
// maps each kind to the answer a caller receives.
//
// Invariant: a kind whose outcome is NotRun is returned only where no target
// can have been given the request.
package fault

// Kind names one sort of failure. The list is closed: every error that leaves
// a process carries exactly one of these kinds.
type Kind string

// Kinds for requests from callers and targets.
const (
	// BadRequest is a request that cannot be understood.
	BadRequest Kind = "bad_request"
	// TooLarge is a request whose body or header exceeds its limit.
	TooLarge Kind = "too_large"
	// UnknownRoute is a path for which no route is in force.
	UnknownRoute Kind = "unknown_route"
	// Unauthenticated is a keyed route called without a key in force.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden is a call that the caller's role may not make.
	Forbidden Kind = "forbidden"
	// QuotaExceeded is a team above its rate and burst.
	QuotaExceeded Kind = "quota_exceeded"
	// QuotaUnavailable is a keyed request for which no quota issuer answered.
	QuotaUnavailable Kind = "quota_unavailable"
	// Overloaded is a request shed before it was dispatched.
	Overloaded Kind = "overloaded"
	// TargetCold is a request refused while the target is in cold start.
	TargetCold Kind = "target_cold"
	// TargetLeaving is a request refused because the target is leaving.
	TargetLeaving Kind = "target_leaving"
	// OutOfService is a request refused because the operators took the target
	// or its failure domain out of service.
	OutOfService Kind = "out_of_service"
	// NoTarget is a service without a usable target.
	NoTarget Kind = "no_target"
	// LeaseExpired is keyed work refused because the state in force could not
	// be confirmed within the freshness lease.
	LeaseExpired Kind = "lease_expired"
	// DeadlineNotRun is a deadline that passed before dispatch.
	DeadlineNotRun Kind = "deadline_not_run"
	// DeadlineUnknown is a deadline that passed after dispatch.
	DeadlineUnknown Kind = "deadline_unknown"
	// DepthExceeded is a call chain deeper than the limit.
	DepthExceeded Kind = "depth_exceeded"
	// ConnectFailed is a peer or target that could not be connected to.
	ConnectFailed Kind = "connect_failed"
	// ConnectionLost is a connection that broke after the request was sent.
	ConnectionLost Kind = "connection_lost"
	// AnswerBroken is an answer that ended before it was whole.
	AnswerBroken Kind = "answer_broken"
	// AnswerTooLarge is an answer to a once request above the storage limit.
	AnswerTooLarge Kind = "answer_too_large"
	// CallerGone is a request whose caller left.
	CallerGone Kind = "caller_gone"
	// HandleUnknown is an egress call without the handle of a running request.
	HandleUnknown Kind = "handle_unknown"
	// OnceKeyMissing is a once route called without an Idempotency-Key.
	OnceKeyMissing Kind = "once_key_missing"
	// OnceConflict is an Idempotency-Key that was used with other content.
	OnceConflict Kind = "once_conflict"
	// OnceUnknown is a once request that was dispatched and whose answer is
	// not known; it is never run again.
	OnceUnknown Kind = "once_unknown"
	// OnceCanceled is an attempt that was fenced off before it was dispatched.
	OnceCanceled Kind = "once_canceled"
	// LedgerUnavailable is a once request that could not be claimed.
	LedgerUnavailable Kind = "ledger_unavailable"
	// LedgerUnknown is a claim whose answer was lost.
	LedgerUnknown Kind = "ledger_unknown"
	// ShuttingDown is a request that reached a process that no longer accepts.
	ShuttingDown Kind = "shutting_down"
	// Internal is a failure inside the process.
	Internal Kind = "internal"
)

// Kinds for operators and for the control replicas.
const (
	// NoteInvalid is a release note that fails validation.
	NoteInvalid Kind = "note_invalid"
	// NoteGap is a release note that is not the successor of the one in force.
	NoteGap Kind = "note_gap"
	// NoteConflict is a release note whose number was accepted with other
	// content.
	NoteConflict Kind = "note_conflict"
	// RevisionConflict is a whole configuration that builds on another revision
	// than the one in force.
	RevisionConflict Kind = "revision_conflict"
	// NoLeader is a replica group without a reachable leader; the command may
	// or may not have been accepted, and may be sent again.
	NoLeader Kind = "no_leader"
	// NotLeader is a command sent to a replica that does not lead; it was not
	// taken.
	NotLeader Kind = "not_leader"
	// NotFounded is a replica that belongs to no group yet.
	NotFounded Kind = "not_founded"
	// AlreadyFounded is a second attempt to found a group.
	AlreadyFounded Kind = "already_founded"
	// MembershipBusy is a membership change during another one.
	MembershipBusy Kind = "membership_busy"
	// SettingsInvalid is a settings file that fails validation.
	SettingsInvalid Kind = "settings_invalid"
	// StorageFailed is a failed write or sync; the process must end.
	StorageFailed Kind = "storage_failed"
	// Damaged is stored data that fails its checksum before the end of the log.
	Damaged Kind = "damaged"
)
