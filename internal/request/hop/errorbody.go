package hop

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxErrorBody bounds the body of a refusal that is read, in bytes.
const maxErrorBody = 8 << 10

var knownKind = knownKinds()

func knownKinds() map[fault.Kind]bool {
	kinds := make(map[fault.Kind]bool)
	for _, k := range fault.Kinds() {
		kinds[k] = true
	}
	return kinds
}

// readError turns the refusal of a daemon back into the error that it was
// made from. A kind outside the closed list becomes Internal.
func readError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	kind := fault.Kind(resp.Header.Get(HeaderKind))
	if !knownKind[kind] {
		return fault.New(fault.Internal, "the daemon beside the target refused with an unknown kind")
	}
	var errorBody ErrorBody
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil || json.Unmarshal(body, &errorBody) != nil {
		return fault.New(kind, "refused by the daemon beside the target")
	}
	return fault.New(kind, "%s", errorBody.Message)
}
