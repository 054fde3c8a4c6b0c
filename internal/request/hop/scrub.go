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

// scrubber drops a caller's key from everything that is passed on.
type scrubber struct {
	key string // lower case
}

// minKey is the shortest text that is taken for a key on an open route, where
// it need not be in force; a shorter one would match at random.
const minKey = 8

func newScrubber(key string) scrubber {
	if len(key) < minKey {
		return scrubber{}
	}
	return scrubber{strings.ToLower(key)}
}

// holds reports whether text holds the key, as it is or percent-encoded.
func (s scrubber) holds(text string) bool {
	if s.key == "" {
		return false
	}
	if strings.Contains(strings.ToLower(text), s.key) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	plain, err := url.QueryUnescape(text)
	if err == nil && strings.Contains(strings.ToLower(plain), s.key) {
		return true
	}
	plain, err = url.PathUnescape(text)
	return err == nil && strings.Contains(strings.ToLower(plain), s.key)
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
