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
	// maxBodyBytes is the number of bytes that are read from a body. The rest is
	// ignored.
	maxBodyBytes = 1 << 20
)

// callTable maps the path of a request to the path of the downstream call that
// it makes.
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

// callResult is the response to a downstream call.
type callResult struct {
	status int
	body   []byte
}

// callNext makes the downstream call of request r through the daemon's egress
// listener. All calls share one connection pool. The call carries the handle that
// the daemon put into r, so that the daemon can assign the call to r.
func (t *target) callNext(ctx context.Context, r *http.Request, path string, body []byte) (callResult, error) {
	url := "http://" + t.options.egress + path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, strings.NewReader(string(body)))
	if err != nil {
		return callResult{}, err
	}
	req.Header.Set(headerHandle, r.Header.Get(headerHandle))
	if key := r.Header.Get(headerOnceKey); key != "" {
		req.Header.Set(headerOnceKey, key)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return callResult{resp.StatusCode, responseBody}, err
}
