package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	headerHandle  = "Teaselrack-Handle"
	headerRequest = "Teaselrack-Request"
	headerOnceKey = "Idempotency-Key"
	maxBody       = 1 << 20
)

// callTable maps the path of a request to the path of the call that it makes.
type callTable map[string]string

// String implements flag.Value.
func (c callTable) String() string { return "" }

// Set implements flag.Value.
func (c callTable) Set(text string) error {
	from, to, ok := strings.Cut(text, "=")
	if !ok {
		return errors.New("want FROM=TO")
	}
	c[from] = to
	return nil
}

// result is the answer of a call.
type result struct {
	status int
	body   []byte
}

// next makes the call that follows from r, on the same connection pool for
// all. The handle of r ties the call to the request that runs here.
func (t *target) next(ctx context.Context, r *http.Request, path string, body []byte) (result, error) {
	target := "http://" + t.options.egress + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, strings.NewReader(string(body)))
	if err != nil {
		return result{}, err
	}
	req.Header.Set(headerHandle, r.Header.Get(headerHandle))
	if key := r.Header.Get(headerOnceKey); key != "" {
		req.Header.Set(headerOnceKey, key)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return result{resp.StatusCode, answer}, err
}
