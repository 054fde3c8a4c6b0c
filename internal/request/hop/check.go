package hop

import (
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// DefaultHeaderLimit is the largest header block of a request, in bytes.
// Listeners take more than the limit, so that the refusal has the form of every
// other one.
const DefaultHeaderLimit = 32 << 10

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkSyntax refuses requests from callers and targets whose form is not
// served, before anything is looked up.
func (d Deps) checkSyntax(r *http.Request) error {
	if len(r.Header[envelope.Header]) > 0 {
		return fault.New(fault.Forbidden, "a request context is accepted on peer links only")
	}
	if !slices.Contains(methods, r.Method) {
		return fault.New(fault.BadRequest, "the method is not served")
	}
	if !r.ProtoAtLeast(1, 1) {
		return fault.New(fault.BadRequest, "HTTP/1.1 or HTTP/2 is required")
	}
	if !isCleanPath(r.URL.Path) {
		return fault.New(fault.BadRequest, "the path is not in its shortest form")
	}
	if limit := d.headerLimit(); headerSize(r) > limit {
		return fault.New(fault.TooLarge, "the header exceeds %d bytes", limit)
	}
	return checkLength(r, d.bodyLimit())
}

// headerSize is the size of the header block as HTTP/1.1 writes it.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// isCleanPath reports whether p is absolute and without empty, "." and ".."
// segments, so that a target cannot read another path in it than the routes
// were matched with.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\\x00") {
		return false
	}
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// checkOnceKey returns the Idempotency-Key of a once request.
func checkOnceKey(r *http.Request, route version.Route) (string, error) {
	if route.Mode != version.Once {
		return "", nil
	}
	values := r.Header.Values(headerOnceKey)
	if len(values) != 1 {
		return "", fault.New(fault.OnceKeyMissing, "this route needs one Idempotency-Key")
	}
	if !envelope.ValidOnceKey(values[0]) {
		return "", fault.New(fault.BadRequest, "the Idempotency-Key has not 1 to %d printable characters", envelope.MaxOnceKey)
	}
	return values[0], nil
}

// requestTimeout returns the time that a request has: that of its route, or less
// where the caller asks for less.
func requestTimeout(r *http.Request, route version.Route) (time.Duration, error) {
	limit := min(route.Timeout, version.MaxTimeout)
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fault.New(fault.BadRequest, "%s is not a number of milliseconds", HeaderTimeout)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}
