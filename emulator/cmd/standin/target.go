package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// target answers requests and records them.
type target struct {
	options options
	client  *http.Client

	mu        sync.Mutex
	records   []system.Record
	stats     system.Stats
	behaviour system.Behaviour
}

func newTarget(o options) *target {
	transport := &http.Transport{MaxIdleConnsPerHost: o.slots}
	return &target{options: o, client: &http.Client{Transport: transport}}
}

// ServeHTTP runs one request: it is recorded before anything else happens, so
// that the record never misses a run.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behaviour := t.begin(r)
	defer t.end()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	if !sleep(r, behaviour.Delay) {
		return
	}
	if behaviour.Abort {
		panic(http.ErrAbortHandler)
	}
	answer := system.TargetAnswer{Service: t.options.service, Instance: t.options.name, Request: r.Header.Get(headerRequest), Echo: string(body)}
	status := http.StatusOK
	if path, ok := t.options.calls[r.URL.Path]; ok {
		status = t.call(r, path, body, &answer)
	}
	if behaviour.Status != 0 {
		status = behaviour.Status
	}
	write(w, status, answer, behaviour)
}

func (t *target) begin(r *http.Request) system.Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, system.Record{
		Method:  r.Method,
		URL:     r.URL.String(),
		Request: r.Header.Get(headerRequest),
		OnceKey: r.Header.Get(headerOnceKey),
		Header:  r.Header.Clone(),
	})
	t.stats.Requests++
	t.stats.Running++
	t.stats.MaxRunning = max(t.stats.MaxRunning, t.stats.Running)
	return t.behaviour
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
}

// call makes the next call; a failed call fails this request too.
func (t *target) call(r *http.Request, path string, body []byte, answer *system.TargetAnswer) int {
	got, err := t.next(r.Context(), r, path, body)
	if err != nil {
		answer.Error = err.Error()
		return http.StatusBadGateway
	}
	if got.status != http.StatusOK {
		answer.Error = string(got.body)
		return got.status
	}
	answer.Next = new(system.TargetAnswer)
	if err := json.Unmarshal(got.body, answer.Next); err != nil {
		answer.Error = err.Error()
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// sleep waits for d; it returns false where the caller leaves first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func write(w http.ResponseWriter, status int, answer system.TargetAnswer, behaviour system.Behaviour) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if behaviour.Break {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
