package hop

import (
	"net/http"
	"net/url"
	"strings"
)

// bearerKey returns the API key in the Authorization header, or the empty string.
func bearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// minKeyLength is the minimum length, in bytes, of a presented key that is searched
// for. On open routes the key need not be valid, and a shorter one would match at
// random.
const minKeyLength = 8

// A token is looked up as a key only if its length, in bytes, is within these
// bounds.
const (
	minTokenLength = 16
	maxTokenLength = 128
)

// scrubber removes API keys from everything that is forwarded: the key that the
// caller presents, anywhere in a text, and every other valid key that appears as a
// token of letters, digits, "-" and "_".
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

// containsKey reports whether text contains a key, literally or percent-encoded.
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

// containsValidKey reports whether any token of text is a valid key.
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

// scrubHeader removes the Authorization header, and every header, value and cookie
// that contains a key. h must be a copy; its value slices are not modified.
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

// scrubCookies removes every cookie that contains a key.
func (s scrubber) scrubCookies(line string) string {
	return s.removeMatching(line, ";")
}

// scrubQuery removes every parameter that contains a key.
func (s scrubber) scrubQuery(raw string) string {
	return s.removeMatching(raw, "&")
}

// removeMatching removes every part of list that contains a key. separator stands
// between the parts. If what remains still contains a key, it returns "".
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
		return "" // the key contains the separator itself
	}
	return rest
}
