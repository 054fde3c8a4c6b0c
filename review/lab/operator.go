package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS, goalMS, attempts       int
}

// service is a service of the configuration.
type service struct {
	name     string
	maxConns int
	coldS    float64
	coldPerS float64
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key   string
	rate, burst float64
}

func configuration(version, base int, routes []route, services []service, tenants []tenant) []byte {
	routeRows, serviceRows, tenantRows := [][]any{}, [][]any{}, [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMS, r.goalMS, 1, nil, r.attempts, false, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s.name, "/health", s.maxConns, "h1", false, s.coldS, s.coldPerS})
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.name, []string{t.key}, 1, t.rate, t.burst})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "base_version": fmt.Sprintf("r%d", base),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "goal_ms", "priority", "split", "attempts", "public", "service"}, "rows": routeRows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "protocol", "tls", "cold_s", "cold_per_s"}, "rows": serviceRows},
		"tenants":  map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": tenantRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

// order sends an order to one control machine after the other until it is acknowledged.
func (c *cluster) order(path string, body []byte, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	cores := c.of("")
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		m := cores[i%len(cores)]
		resp, err := client.Post("http://"+c.address(m, portControl)+path, "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.record.event("order %s to %s: %d", path, m.name, resp.StatusCode)
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		if resp.StatusCode/100 == 4 {
			return fmt.Errorf("%s: %s", resp.Status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of %s", path)
}

// awaitReady waits until every sidecar machine says that it is ready.
func (c *cluster) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range c.machines {
		for m.service != "" {
			resp, err := http.Get("http://" + c.address(m, portReady) + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
