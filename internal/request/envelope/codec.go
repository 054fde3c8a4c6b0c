package envelope

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Header is the name of the header that carries the encoded envelope on peer
// links. Every other listener rejects a request that has this header.
const Header = "Teaselrack-Envelope"

// MaxEncoded is the maximum size of an encoded envelope, in bytes.
const MaxEncoded = 4 << 10

var (
	encoding = base64.RawURLEncoding
	encoder  = mustEncoder()
	decoder  = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  4,
		MaxMapPairs:      32,
		MaxArrayElements: 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the header value for e. It fails with BadRequest if e is
// invalid, so that a process never sends an envelope that its peer would reject,
// and with TooLarge if the value would exceed MaxEncoded.
func Encode(e *Envelope) (string, error) {
	if err := e.Validate(); err != nil {
		return "", err
	}
	b, err := encoder.Marshal(e)
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "the request envelope cannot be encoded")
	}
	if encoding.EncodedLen(len(b)) > MaxEncoded {
		return "", fault.New(fault.TooLarge, "the encoded request envelope exceeds %d bytes", MaxEncoded)
	}
	return encoding.EncodeToString(b), nil
}

// Decode parses and validates a header value that Encode produced. It fails with
// BadRequest if the value is malformed or invalid, and with TooLarge if it
// exceeds MaxEncoded. Unknown fields are ignored, to allow rolling upgrades.
func Decode(value string) (*Envelope, error) {
	if len(value) > MaxEncoded {
		return nil, fault.New(fault.TooLarge, "the encoded request envelope exceeds %d bytes", MaxEncoded)
	}
	b, err := encoding.DecodeString(value)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request envelope is not valid base64url")
	}
	e := new(Envelope)
	if err := decoder.Unmarshal(b, e); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request envelope cannot be decoded as CBOR")
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}
