package hop

import (
	"net/http"
	"net/url"
	"strings"
)

// bearerKey returns the key of a request, or the empty string.
func bearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// minKeyLength is the shortest text that is taken for a key on an open route, where
// it need not be in force; a shorter one would match at random.
const minKeyLength = 8

// A token of a text is looked up as a key where its length is within these
// bounds.
const (
	minTokenLength = 16
	maxTokenLength = 128
)

// scrubber drops keys from everything that is passed on: the one that the
// caller presents, wherever it stands, and any other that is in force, where it
// stands as a token of letters, digits, "-" and "_".
type scrubber struct {
	presentedKey string // lower case
	isValidKey   func(secret string) bool
}

func newScrubber(key string, isValidKey func(secret string) bool) scrubber {
	if len(key) < minKeyLength {
		key = ""
	}
	return scrubber{strings.ToLower(key), isValidKey}
}

// containsKey reports whether text holds a key, as it is or percent-encoded.
func (s scrubber) containsKey(text string) bool {
	if s.containsPlainKey(text) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	plain, err := url.QueryUnescape(text)
	if err == nil && s.containsPlainKey(plain) {
		return true
	}
	plain, err = url.PathUnescape(text)
	return err == nil && s.containsPlainKey(plain)
}

func (s scrubber) containsPlainKey(text string) bool {
	if s.presentedKey != "" && strings.Contains(strings.ToLower(text), s.presentedKey) {
		return true
	}
	return s.isValidKey != nil && len(text) >= minTokenLength && s.containsValidKey(text)
}

// containsValidKey looks each token of text up among the keys in force.
func (s scrubber) containsValidKey(text string) bool {
	start := 0
	for i := 0; i <= len(text); i++ {
		if i < len(text) && isTokenByte(text[i]) {
			continue
		}
		if n := i - start; n >= minTokenLength && n <= maxTokenLength && s.isValidKey(text[start:i]) {
			return true
		}
		start = i + 1
	}
	return false
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// scrubHeader drops the Authorization header, and each value, cookie and name that
// holds the key. h must be a copy; the slices in it are not changed.
func (s scrubber) scrubHeader(h http.Header) {
	delete(h, "Authorization")
	for name, values := range h {
		if s.containsKey(name) {
			delete(h, name)
			continue
		}
		kept := values[:0:0]
		for _, value := range values {
			if name == "Cookie" {
				value = s.scrubCookies(value)
			}
			if value != "" && !s.containsKey(value) || value == "" && name != "Cookie" {
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

// scrubCookies drops each cookie that holds the key.
func (s scrubber) scrubCookies(line string) string {
	return s.removeMatching(line, ";")
}

// scrubQuery drops each parameter that holds the key.
func (s scrubber) scrubQuery(raw string) string {
	return s.removeMatching(raw, "&")
}

func (s scrubber) removeMatching(list, separator string) string {
	if !s.containsKey(list) {
		return list
	}
	var kept []string
	for part := range strings.SplitSeq(list, separator) {
		if !s.containsKey(part) {
			kept = append(kept, part)
		}
	}
	rest := strings.Join(kept, separator)
	if s.containsKey(rest) {
		return "" // the key holds the separator itself
	}
	return rest
}
