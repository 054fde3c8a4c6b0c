package rpc

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// codeFault is the code of JSON-RPC errors whose data contains a fault kind.
const codeFault = 1

type errorData struct {
	Kind fault.Kind `json:"kind"`
}

// toWire converts an error to a JSON-RPC error.
func toWire(err error) *jsonrpc2.Error {
	wireErr := &jsonrpc2.Error{Code: codeFault, Message: fault.Message(err)}
	wireErr.SetError(errorData{Kind: fault.KindOf(err)})
	return wireErr
}

// fromWire converts the error of a call to an error with a fault kind. An error that is
// not a JSON-RPC error means that the link was lost; the call may have been executed.
func fromWire(err error) error {
	if err == nil {
		return nil
	}
	var wireErr *jsonrpc2.Error
	if !errors.As(err, &wireErr) {
		return fault.Wrap(fault.ConnectionLost, err, "link lost during a call")
	}
	if wireErr.Code == jsonrpc2.CodeMethodNotFound {
		return fault.New(fault.BadRequest, "%s", wireErr.Message)
	}
	var data errorData
	if wireErr.Data == nil || json.Unmarshal(*wireErr.Data, &data) != nil || data.Kind == "" {
		return fault.New(fault.Internal, "%s", wireErr.Message)
	}
	return fault.New(data.Kind, "%s", wireErr.Message)
}
