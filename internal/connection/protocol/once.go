package protocol

import "time"

// OnceOperation is one operation of the once ledger.
type OnceOperation string

// Operations of the once ledger.
const (
	// OnceClaim reserves the key for one attempt; granted once, ever.
	OnceClaim OnceOperation = "claim"
	// OnceRelease frees a claim whose attempt was certainly not dispatched.
	OnceRelease OnceOperation = "release"
	// OnceComplete stores the answer of the attempt.
	OnceComplete OnceOperation = "complete"
	// OnceCancel fences an attempt: if it holds no claim yet, it never will.
	OnceCancel OnceOperation = "cancel"
)

// OnceKey names one request that may run at most once.
type OnceKey struct {
	Team    string `json:"team" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	Key     string `json:"key" cbor:"3,keyasint"`
}

// OnceRequest is one command to the ledger.
type OnceRequest struct {
	Operation OnceOperation `json:"op" cbor:"1,keyasint"`
	Key       OnceKey       `json:"key" cbor:"2,keyasint"`
	// Attempt is the attempt id of the envelope.
	Attempt string `json:"attempt" cbor:"3,keyasint"`
	// Digest is the digest of method, path and body.
	Digest string `json:"digest" cbor:"4,keyasint,omitempty"`
	// Answer is set for complete.
	Answer *StoredAnswer `json:"answer,omitempty" cbor:"5,keyasint,omitempty"`
}

// OnceState is the state of a key after a command.
type OnceState string

// States of a key in the ledger.
const (
	// OnceFree means that no attempt holds the key.
	OnceFree OnceState = "free"
	// OnceGranted means that this attempt holds the claim, and was granted it
	// by this very command: it alone may dispatch.
	OnceGranted OnceState = "granted"
	// OnceHeld means that an attempt holds the claim and has not completed.
	OnceHeld OnceState = "held"
	// OnceDone means that an answer is stored.
	OnceDone OnceState = "done"
	// OnceMismatch means that the key was used with another digest.
	OnceMismatch OnceState = "mismatch"
	// OnceFenced means that the attempt was canceled before it held a claim.
	OnceFenced OnceState = "fenced"
	// OnceFull means that the ledger has no room; nothing was claimed.
	OnceFull OnceState = "full"
)

// OnceReply is the answer of the ledger.
type OnceReply struct {
	State OnceState `json:"state" cbor:"1,keyasint"`
	// Holder is the attempt that holds or completed the claim.
	Holder string `json:"holder,omitempty" cbor:"2,keyasint,omitempty"`
	// Since is how long ago the claim was granted.
	Since  time.Duration `json:"since,omitempty" cbor:"3,keyasint,omitempty"`
	Answer *StoredAnswer `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
}

// StoredAnswer is a whole HTTP answer.
type StoredAnswer struct {
	Status int `json:"status" cbor:"1,keyasint"`
	// Header holds the end-to-end headers of the answer.
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
}

// MaxStoredAnswer is the largest body of a stored answer, in bytes.
const MaxStoredAnswer = 64 << 10
