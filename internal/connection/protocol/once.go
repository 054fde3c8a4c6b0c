package protocol

import "time"

// OnceOperation is an operation of the ledger, which ensures that a request runs at
// most once.
type OnceOperation string

// Operations of the ledger.
const (
	// OnceClaim claims the key for one attempt. At most one attempt is granted the
	// claim. Another attempt can get it only after that attempt has released it.
	OnceClaim OnceOperation = "claim"
	// OnceRelease releases the claim of an attempt that certainly was not dispatched. It
	// also fences the attempt.
	OnceRelease OnceOperation = "release"
	// OnceComplete stores the response to the attempt.
	OnceComplete OnceOperation = "complete"
	// OnceCancel fences an attempt: if the attempt does not hold a claim yet, it is
	// never granted one.
	OnceCancel OnceOperation = "cancel"
)

// OnceKey identifies a request that may run at most once.
type OnceKey struct {
	Team    string `json:"team" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	Key     string `json:"key" cbor:"3,keyasint"`
}

// OnceRequest is a command to the ledger.
type OnceRequest struct {
	Operation OnceOperation `json:"op" cbor:"1,keyasint"`
	Key       OnceKey       `json:"key" cbor:"2,keyasint"`
	// Attempt is the attempt ID from the request's envelope.
	Attempt string `json:"attempt" cbor:"3,keyasint"`
	// Digest is the digest of the request's method, path and body.
	Digest string `json:"digest" cbor:"4,keyasint,omitempty"`
	// Response is set for OnceComplete only.
	Response *StoredResponse `json:"answer,omitempty" cbor:"5,keyasint,omitempty"`
}

// OnceState is the state of a key after a command.
type OnceState string

// States of a key in the ledger.
const (
	// OnceFree means that no attempt holds the key.
	OnceFree OnceState = "free"
	// OnceGranted means that the attempt of this OnceClaim command holds the claim. Only
	// this attempt may be dispatched.
	OnceGranted OnceState = "granted"
	// OnceHeld means that an attempt holds the claim and has not completed.
	OnceHeld OnceState = "held"
	// OnceDone means that the response is stored.
	OnceDone OnceState = "done"
	// OnceMismatch means that the key has been used with a different digest.
	OnceMismatch OnceState = "mismatch"
	// OnceFenced means that the attempt is never granted a claim, because it was canceled
	// before it held one, or was released.
	OnceFenced OnceState = "fenced"
	// OnceFull means that the ledger has no space left. Nothing was claimed.
	OnceFull OnceState = "full"
)

// OnceReply is the reply of the ledger to a command.
type OnceReply struct {
	State OnceState `json:"state" cbor:"1,keyasint"`
	// Holder is the ID of the attempt that holds the claim or has completed it.
	Holder string `json:"holder,omitempty" cbor:"2,keyasint,omitempty"`
	// Since is the time since the claim was granted.
	Since    time.Duration   `json:"since,omitempty" cbor:"3,keyasint,omitempty"`
	Response *StoredResponse `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
}

// StoredResponse is a complete HTTP response.
type StoredResponse struct {
	Status int `json:"status" cbor:"1,keyasint"`
	// Header contains the end-to-end headers of the response.
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
}

// MaxStoredResponse is the maximum size of the body of a stored response, in bytes.
const MaxStoredResponse = 64 << 10
