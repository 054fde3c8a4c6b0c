package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	announcePath     = "/v1/target"
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 2 * time.Second
	connectionsEach  = 8

	stateCold    = "cold"
	stateWarm    = "warm"
	stateLeaving = "leaving"
)

// announcement is the message to the daemon.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

// announcer tells the daemon of this target, again and again.
type announcer struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	message announcement
}

func newAnnouncer(o options) *announcer {
	state := stateWarm
	if o.cold > 0 {
		state = stateCold
	}
	a := &announcer{
		url:    "http://" + o.announce + announcePath,
		client: &http.Client{Timeout: announceTimeout},
		message: announcement{
			Service:     o.service,
			Address:     o.listen,
			Incarnation: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
			Slots:       o.slots,
			Connections: o.slots * connectionsEach,
			State:       state,
		},
	}
	if o.cold > 0 {
		time.AfterFunc(o.cold, func() { a.set(stateWarm) })
	}
	return a
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.send()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// set changes the state, unless the target is leaving, and announces it at
// once.
func (a *announcer) set(state string) {
	a.mu.Lock()
	if a.message.State != stateLeaving {
		a.message.State = state
	}
	a.mu.Unlock()
	a.send()
}

func (a *announcer) leave() { a.set(stateLeaving) }

func (a *announcer) send() {
	a.mu.Lock()
	body, err := json.Marshal(a.message)
	a.mu.Unlock()
	if err != nil {
		log.Print(err)
		return
	}
	req, err := http.NewRequest(http.MethodPut, a.url, bytes.NewReader(body))
	if err != nil {
		log.Print(err)
		return
	}
	resp, err := a.client.Do(req)
	if err != nil {
		log.Printf("announce: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		problem, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		log.Printf("announce: %s: %s", resp.Status, problem)
	}
}
