package hop

import (
	"net/http"
	"net/url"
	"strings"
)

// bearer returns the key of a request, or the empty string.
func bearer(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// minKey is the shortest text that is taken for a key on an open route, where
// it need not be in force; a shorter one would match at random.
const minKey = 8

// A token of a text is looked up as a key where its length is within these
// bounds.
const (
	minToken = 16
	maxToken = 128
)

// scrubber drops keys from everything that is passed on: the one that the
// caller presents, wherever it stands, and any other that is in force, where it
// stands as a token of letters, digits, "-" and "_".
type scrubber struct {
	key     string // lower case
	inForce func(secret string) bool
}

func newScrubber(key string, inForce func(secret string) bool) scrubber {
	if len(key) < minKey {
		key = ""
	}
	return scrubber{strings.ToLower(key), inForce}
}

// holds reports whether text holds a key, as it is or percent-encoded.
func (s scrubber) holds(text string) bool {
	if s.holdsPlain(text) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	plain, err := url.QueryUnescape(text)
	if err == nil && s.holdsPlain(plain) {
		return true
	}
	plain, err = url.PathUnescape(text)
	return err == nil && s.holdsPlain(plain)
}

func (s scrubber) holdsPlain(text string) bool {
	if s.key != "" && strings.Contains(strings.ToLower(text), s.key) {
		return true
	}
	return s.inForce != nil && len(text) >= minToken && s.holdsToken(text)
}

// holdsToken looks each token of text up among the keys in force.
func (s scrubber) holdsToken(text string) bool {
	start := 0
	for i := 0; i <= len(text); i++ {
		if i < len(text) && isTokenByte(text[i]) {
			continue
		}
		if n := i - start; n >= minToken && n <= maxToken && s.inForce(text[start:i]) {
			return true
		}
		start = i + 1
	}
	return false
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// header drops the Authorization header, and each value, cookie and name that
// holds the key. h must be a copy; the slices in it are not changed.
func (s scrubber) header(h http.Header) {
	delete(h, "Authorization")
	for name, values := range h {
		if s.holds(name) {
			delete(h, name)
			continue
		}
		kept := values[:0:0]
		for _, value := range values {
			if name == "Cookie" {
				value = s.cookies(value)
			}
			if value != "" && !s.holds(value) || value == "" && name != "Cookie" {
				kept = append(kept, value)
			}
		}
		if len(kept) == 0 {
			delete(h, name)
			continue
		}
		h[name] = kept
	}
}

// cookies drops each cookie that holds the key.
func (s scrubber) cookies(line string) string {
	return s.without(line, ";")
}

// query drops each parameter that holds the key.
func (s scrubber) query(raw string) string {
	return s.without(raw, "&")
}

func (s scrubber) without(list, separator string) string {
	if !s.holds(list) {
		return list
	}
	var kept []string
	for part := range strings.SplitSeq(list, separator) {
		if !s.holds(part) {
			kept = append(kept, part)
		}
	}
	rest := strings.Join(kept, separator)
	if s.holds(rest) {
		return "" // the key holds the separator itself
	}
	return rest
}
