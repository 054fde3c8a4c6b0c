package fault

import (
	"net/http"
	"time"
)

// Outcome is what is known about whether a target ran the request.
type Outcome string

// Outcomes, as sent in the Teaselrack-Outcome header.
const (
	// NotRun means that no target received the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
	// Ran means that a target ran the request.
	Ran Outcome = "ran"
)

// statusCallerGone is the status logged for a request that the caller canceled;
// no caller receives it.
const statusCallerGone = 499

// Response is the response to a request that failed with one kind of error.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Outcome is sent in the Teaselrack-Outcome header.
	Outcome Outcome
	// Retry says whether the same request may succeed later or elsewhere.
	Retry bool
	// RetryAfter is the recommended wait before a retry; zero recommends none.
	RetryAfter time.Duration
}

// Values of Response.RetryAfter.
const (
	retrySoon  = 1 * time.Second
	retryLater = 3 * time.Second
)

// table maps each kind to its response. Its keys are the closed list of kinds. Callers take
// status 503 as the promise that the request has not run, and 502 and 504 as none.
var table = map[Kind]Response{
	BadRequest:        {http.StatusBadRequest, NotRun, false, 0},
	TooLarge:          {http.StatusRequestEntityTooLarge, NotRun, false, 0},
	UnknownRoute:      {http.StatusNotFound, NotRun, false, 0},
	Unauthenticated:   {http.StatusUnauthorized, NotRun, false, 0},
	Forbidden:         {http.StatusForbidden, NotRun, false, 0},
	QuotaExceeded:     {http.StatusTooManyRequests, NotRun, true, retrySoon},
	QuotaUnavailable:  {http.StatusServiceUnavailable, NotRun, true, retryLater},
	Overloaded:        {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	TargetCold:        {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	Quarantined:       {http.StatusServiceUnavailable, NotRun, false, 0},
	TargetLeaving:     {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	OutOfService:      {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	NoTarget:          {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	LeaseExpired:      {http.StatusServiceUnavailable, NotRun, true, retryLater},
	DeadlineNotRun:    {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	DeadlineUnknown:   {http.StatusGatewayTimeout, Unknown, false, 0},
	DepthExceeded:     {http.StatusLoopDetected, NotRun, false, 0},
	ConnectFailed:     {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	ConnectionLost:    {http.StatusBadGateway, Unknown, false, 0},
	AnswerBroken:      {http.StatusBadGateway, Ran, false, 0},
	AnswerTooLarge:    {http.StatusBadGateway, Ran, false, 0},
	CallerGone:        {statusCallerGone, Unknown, false, 0},
	HandleUnknown:     {http.StatusForbidden, NotRun, false, 0},
	OnceKeyMissing:    {http.StatusBadRequest, NotRun, false, 0},
	OnceConflict:      {http.StatusConflict, NotRun, false, 0},
	OnceUnknown:       {http.StatusConflict, Unknown, false, 0},
	OnceCanceled:      {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	LedgerUnavailable: {http.StatusServiceUnavailable, NotRun, true, retryLater},
	LedgerUnknown:     {http.StatusBadGateway, Unknown, true, retryLater},
	ShuttingDown:      {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	Interrupted:       {http.StatusBadGateway, Unknown, false, 0},
	Internal:          {http.StatusInternalServerError, Unknown, false, 0},

	NoteInvalid:      {http.StatusUnprocessableEntity, NotRun, false, 0},
	NoteGap:          {http.StatusConflict, NotRun, false, 0},
	NoteConflict:     {http.StatusConflict, NotRun, false, 0},
	RevisionConflict: {http.StatusPreconditionFailed, NotRun, false, 0},
	OrderOutdated:    {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	NoLeader:         {http.StatusServiceUnavailable, Unknown, true, retrySoon},
	NotLeader:        {http.StatusServiceUnavailable, NotRun, true, retrySoon},
	NotInEffect:      {http.StatusServiceUnavailable, Unknown, true, retrySoon},
	NotFounded:       {http.StatusServiceUnavailable, NotRun, true, retryLater},
	AlreadyFounded:   {http.StatusConflict, NotRun, false, 0},
	MembershipBusy:   {http.StatusConflict, NotRun, true, retrySoon},
	SettingsInvalid:  {http.StatusUnprocessableEntity, NotRun, false, 0},
	StorageFailed:    {http.StatusInternalServerError, Unknown, false, 0},
	Damaged:          {http.StatusInternalServerError, Unknown, false, 0},
}

// ResponseFor returns the response for errors of kind k. A kind outside the list is
// treated as Internal.
func ResponseFor(k Kind) Response {
	response, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return response
}

// Kinds returns every kind of the closed list, in no fixed order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}
