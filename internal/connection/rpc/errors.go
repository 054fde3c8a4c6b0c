package rpc

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// codeFault marks JSON-RPC errors whose data holds an error kind.
const codeFault = 1

type errorData struct {
	Kind fault.Kind `json:"kind"`
}

// toWire turns an error into its JSON-RPC form.
func toWire(err error) *jsonrpc2.Error {
	wire := &jsonrpc2.Error{Code: codeFault, Message: fault.Message(err)}
	wire.SetError(errorData{Kind: fault.KindOf(err)})
	return wire
}

// fromWire turns the result of a call into an error with a kind. An error
// without a kind means that the link broke: the call may have been taken.
func fromWire(err error) error {
	if err == nil {
		return nil
	}
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return fault.Wrap(fault.ConnectionLost, err, "the link broke during a call")
	}
	if wire.Code == jsonrpc2.CodeMethodNotFound {
		return fault.New(fault.BadRequest, "%s", wire.Message)
	}
	var data errorData
	if wire.Data == nil || json.Unmarshal(*wire.Data, &data) != nil || data.Kind == "" {
		return fault.New(fault.Internal, "%s", wire.Message)
	}
	return fault.New(data.Kind, "%s", wire.Message)
}
