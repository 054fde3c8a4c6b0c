package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// table is a list of records as the protocol page encodes it.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// route is one route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, goalMS           int
	attempts                    int
}

const (
	host   = "front.example"
	apiKey = "k3yk3yk3yk3yk3yk3yk3"
	tenant = "tenant-1"
)

// configuration returns the body of a config/put call.
func configuration(version, base int, routes []route, services []string) []byte {
	routeTable := table{Columns: []string{"name", "host", "prefix", "kind", "timeout_ms", "goal_ms", "priority", "split", "attempts", "public", "service"}}
	for _, r := range routes {
		routeTable.Rows = append(routeTable.Rows, []any{r.name, host, r.prefix, r.kind, r.timeoutMS, r.goalMS, 0, nil, r.attempts, false, r.service})
	}
	serviceTable := table{Columns: []string{"name", "health_path", "max_conns", "protocol", "tls", "cold_s", "cold_per_s"}}
	for _, name := range services {
		serviceTable.Rows = append(serviceTable.Rows, []any{name, "/health", 994, "h1", false, 3.0, 12.0})
	}
	tenants := table{Columns: []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, Rows: [][]any{{tenant, []string{apiKey}, 0, 0, 0}}}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprint("r", version), "base_version": fmt.Sprint("r", base), "routes": routeTable, "services": serviceTable, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// order sends a call of the operator to one core after the other until it is acknowledged.
func (c *cluster) order(path string, body []byte, within time.Duration) error {
	end := time.Now().Add(within)
	for attempt := 0; time.Now().Before(end); attempt++ {
		m := c.cores[attempt%len(c.cores)]
		status, text, err := c.call("POST", c.address(m, c.ports.control), path, body)
		c.record.add("operator: POST %s at %s: status %d, error %v", path, m.name, status, err)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return fmt.Errorf("%s refused with %d: %s", path, status, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New(path + " was not acknowledged")
}

func (c *cluster) call(method, address, path string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// awaitReady waits until all sidecars answer the readiness check with 200.
func (c *cluster) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, m := range c.sidecars {
		for {
			status, _, err := c.call("GET", c.address(m, c.ports.ready), "/-/ready", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %d %v", m.name, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
