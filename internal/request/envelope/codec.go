package envelope

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Header is the name of the header that carries an encoded envelope on peer
// links. On any other listener a request that holds it is refused.
const Header = "Teaselrack-Envelope"

// MaxEncoded is the largest encoded envelope, in bytes.
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

// Encode returns the header value for e. It fails with BadRequest where e is
// not valid, so that no process sends what its peer would refuse.
func Encode(e *Envelope) (string, error) {
	if err := e.Validate(); err != nil {
		return "", err
	}
	b, err := encoder.Marshal(e)
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "encode the request context")
	}
	if encoding.EncodedLen(len(b)) > MaxEncoded {
		return "", fault.New(fault.TooLarge, "the request context exceeds %d bytes", MaxEncoded)
	}
	return encoding.EncodeToString(b), nil
}

// Decode reads what Encode wrote. It fails with BadRequest for anything that is
// not valid, and with TooLarge above MaxEncoded. Fields that this version does
// not know are ignored, so that processes can be replaced one by one.
func Decode(value string) (*Envelope, error) {
	if len(value) > MaxEncoded {
		return nil, fault.New(fault.TooLarge, "the request context exceeds %d bytes", MaxEncoded)
	}
	b, err := encoding.DecodeString(value)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request context is not base64url")
	}
	e := new(Envelope)
	if err := decoder.Unmarshal(b, e); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the request context cannot be decoded")
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}
