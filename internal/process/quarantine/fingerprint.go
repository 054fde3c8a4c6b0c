package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxHashedBytes is how much of a body counts. How much of a longer one is buffered
// differs between attempts.
const maxHashedBytes = 64 << 10

// Fingerprint identifies the content of a request across callers, daemons and
// attempts. It is a hash of the method, the host, the URI and the beginning of the body
// with the length of the body, which is -1 if it is unknown.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, host, uri string, body []byte, length int64) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, host, uri, strconv.FormatInt(length, 10)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxHashedBytes)])
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as the logs show it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
