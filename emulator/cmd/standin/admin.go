package main

import (
	"encoding/json"
	"net/http"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// adminHandler returns the handler of the admin listener. It serves the records
// and the counters, and sets the behaviour and the announced state.
func adminHandler(t *target, a *announcer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", t.serveRecords)
	mux.HandleFunc("GET /stats", t.serveStats)
	mux.HandleFunc("PUT /behaviour", t.putBehaviour)
	mux.HandleFunc("PUT /state/{state}", func(w http.ResponseWriter, r *http.Request) {
		a.setState(r.PathValue("state"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (t *target) serveRecords(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	records := append([]system.Record{}, t.records...)
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(records)
}

func (t *target) serveStats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	stats := t.stats
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(stats)
}

func (t *target) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var behaviour system.Behaviour
	if err := json.NewDecoder(r.Body).Decode(&behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.behaviour = behaviour
	t.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
