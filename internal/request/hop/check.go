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

// DefaultHeaderLimit is the default maximum size of a request's header block, in
// bytes. Listeners accept more than this limit, so that the rejection is sent by
// the handler, in the same format as all others.
const DefaultHeaderLimit = 32 << 10

// methods are the HTTP methods that are supported.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkSyntax rejects malformed and unsupported requests of callers and targets,
// before their route is looked up. Errors: Forbidden, BadRequest, TooLarge.
func (d Deps) checkSyntax(r *http.Request) error {
	if len(r.Header[envelope.Header]) > 0 {
		return fault.New(fault.Forbidden, "a request envelope is accepted on peer links only")
	}
	if !slices.Contains(methods, r.Method) {
		return fault.New(fault.BadRequest, "the method is not supported")
	}
	if !r.ProtoAtLeast(1, 1) {
		return fault.New(fault.BadRequest, "HTTP/1.1 or HTTP/2 is required")
	}
	if !isCleanPath(r.URL.Path) {
		return fault.New(fault.BadRequest, "the path is not in canonical form")
	}
	if limit := d.headerLimit(); headerSize(r) > limit {
		return fault.New(fault.TooLarge, "the header block exceeds %d bytes", limit)
	}
	return checkLength(r, d.bodyLimit())
}

// headerSize returns the approximate size of the request line and header block
// in HTTP/1.1 format, in bytes.
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

// isCleanPath reports whether p is absolute and has no empty, "." or ".."
// segments and no backslash or NUL. A target could normalize any other path, and so
// serve another path than the one that was matched with the routes.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\\x00") {
		return false
	}
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// checkOnceKey returns the Idempotency-Key of a request on a once route, and ""
// on other routes. Errors: OnceKeyMissing, BadRequest.
func checkOnceKey(r *http.Request, route version.Route) (string, error) {
	if route.Mode != version.Once {
		return "", nil
	}
	values := r.Header.Values(headerOnceKey)
	if len(values) != 1 {
		return "", fault.New(fault.OnceKeyMissing, "this route requires exactly one Idempotency-Key header")
	}
	if !envelope.ValidOnceKey(values[0]) {
		return "", fault.New(fault.BadRequest, "the Idempotency-Key must have 1 to %d printable ASCII characters", envelope.MaxOnceKey)
	}
	return values[0], nil
}

// requestTimeout returns the timeout of a request: that of its route, but at most
// version.MaxTimeout, or the shorter one that the caller requests in HeaderTimeout.
// It fails with BadRequest if that header is malformed.
func requestTimeout(r *http.Request, route version.Route) (time.Duration, error) {
	limit := min(route.Timeout, version.MaxTimeout)
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fault.New(fault.BadRequest, "%s is not a positive number of milliseconds", HeaderTimeout)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}
