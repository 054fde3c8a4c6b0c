package hop

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxRefusal bounds the body of a refusal that is read, in bytes.
const maxRefusal = 8 << 10

var known = knownKinds()

func knownKinds() map[fault.Kind]bool {
	kinds := make(map[fault.Kind]bool)
	for _, k := range fault.Kinds() {
		kinds[k] = true
	}
	return kinds
}

// readRefusal turns the refusal of a daemon back into the error that it was
// made from. A kind outside the closed list becomes Internal.
func readRefusal(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	kind := fault.Kind(resp.Header.Get(HeaderKind))
	if !known[kind] {
		return fault.New(fault.Internal, "the daemon beside the target refused with an unknown kind")
	}
	var refusal Refusal
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	if err != nil || json.Unmarshal(body, &refusal) != nil {
		return fault.New(kind, "refused by the daemon beside the target")
	}
	return fault.New(kind, "%s", refusal.Message)
}
