// Package configuration holds the configuration in effect. It contains the
// replicated state machine for control replicas, and for daemons a holder with a
// freshness lease.
package configuration

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Result is the result of the state machine for one release note.
type Result struct {
	// Number is the number of the note. It is zero if the note could not be decoded,
	// or if it is a rejected order. For an order that had been applied before, it is
	// the number of the current state.
	Number uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the note that was accepted with Number. It is empty
	// if there is none, or if that note is no longer kept.
	Digest string `cbor:"2,keyasint,omitempty"`
	// Repeated is true if the same note had been accepted before.
	Repeated bool `cbor:"3,keyasint,omitempty"`
	// Kind is empty if the note was accepted. Otherwise it is NoteInvalid, NoteGap,
	// NoteConflict or, for an order, RevisionConflict or OrderOutdated.
	Kind fault.Kind `cbor:"4,keyasint,omitempty"`
	// Message explains Kind.
	Message string `cbor:"5,keyasint,omitempty"`
}

// Err returns the rejection as an error, or nil if the note was accepted.
func (r Result) Err() error {
	if r.Kind == "" {
		return nil
	}
	return fault.New(r.Kind, "%s", r.Message)
}

// EncodeResult returns the canonical CBOR form of r. Errors: Internal.
func EncodeResult(r Result) ([]byte, error) {
	b, err := canonical.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the result of a note")
	}
	return b, nil
}

// DecodeResult decodes the output of EncodeResult. Errors: Internal.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Result{}, fault.Wrap(fault.Internal, err, "decode the result of a note")
	}
	return r, nil
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
