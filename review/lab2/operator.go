package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is one row of the table of routes.
type route struct {
	name, host, prefix, kind string
	timeoutMS, goalMS        int
	service                  string
}

const apiKey = "6wsjnbanfqasnmgkcuyj"

var (
	routeColumns   = []string{"name", "host", "prefix", "kind", "timeout_ms", "goal_ms", "priority", "split", "attempts", "public", "service"}
	serviceColumns = []string{"name", "health_path", "max_conns", "protocol", "tls", "cold_s", "cold_per_s"}
	tenantColumns  = []string{"name", "api_keys", "priority", "rate_per_s", "burst"}
)

// configuration returns the body of a config.
func configuration(version, base int, routes []route, services []string) []byte {
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMS, r.goalMS, 1, nil, 2, false, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 826, "h1", false, 3.0, 33.0})
	}
	baseVersion := any(0)
	if base > 0 {
		baseVersion = fmt.Sprintf("r%d", base)
	}
	body, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "base_version": baseVersion,
		"routes":   map[string]any{"columns": routeColumns, "rows": routeRows},
		"services": map[string]any{"columns": serviceColumns, "rows": serviceRows},
		"tenants":  map[string]any{"columns": tenantColumns, "rows": [][]any{{"pulo780", []string{apiKey}, 1, 0, 0}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

// operator sends orders as the pages say: to one machine after the other, until one
// answers; it waits a second for each answer and closes the connection after it.
type operator struct {
	system *system
	client *http.Client
}

func newOperator(s *system) *operator {
	return &operator{system: s, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends an order to one machine, and returns the status of the answer, 0 if there is
// none.
func (o *operator) send(m *machine, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+m.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	o.system.rec.add("operator sends %s %s (%d bytes) to %s", method, path, len(body), m.name)
	resp, err := o.client.Do(r)
	if err != nil {
		o.system.rec.add("operator has no answer of %s to %s", m.name, path)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	o.system.rec.add("operator gets %d from %s to %s", resp.StatusCode, m.name, path)
	return resp.StatusCode, answer
}

// order sends an order to the given machines in turn until one acknowledges it.
func (o *operator) order(path string, body []byte, limit time.Duration, to ...*machine) error {
	end := time.Now().Add(limit)
	for i := 0; ; i++ {
		if status, _ := o.send(to[i%len(to)], http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no ack of %s", path)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ready asks whether the process of a machine takes requests.
func ready(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
