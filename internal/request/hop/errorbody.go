package hop

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxErrorBody is the maximum number of bytes read from the body of a rejection.
const maxErrorBody = 8 << 10

var knownKind = knownKinds()

func knownKinds() map[fault.Kind]bool {
	kinds := make(map[fault.Kind]bool)
	for _, k := range fault.Kinds() {
		kinds[k] = true
	}
	return kinds
}

// readError converts the rejection of a daemon to the error that it was written
// from. A kind that is not in fault.Kinds becomes Internal.
func readError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	kind := fault.Kind(resp.Header.Get(HeaderKind))
	if !knownKind[kind] {
		return fault.New(fault.Internal, "the target's daemon rejected the request with an unknown error kind")
	}
	var errorBody ErrorBody
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil || json.Unmarshal(body, &errorBody) != nil {
		return fault.New(kind, "the target's daemon rejected the request")
	}
	return fault.New(kind, "%s", errorBody.Message)
}
