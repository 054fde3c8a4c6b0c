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
	// connectionsPerSlot is the number of connections that the target announces for
	// each slot.
	connectionsPerSlot = 8

	stateCold    = "cold"
	stateWarm    = "warm"
	stateLeaving = "leaving"
)

// announcement is the body of the message that announces the target to its
// daemon.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

// announcer announces the target to its daemon every announceInterval and after
// each change of state.
type announcer struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	message announcement
}

func newAnnouncer(o options) *announcer {
	state := stateWarm
	if o.coldPeriod > 0 {
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
			Connections: o.slots * connectionsPerSlot,
			State:       state,
		},
	}
	if o.coldPeriod > 0 {
		time.AfterFunc(o.coldPeriod, func() { a.setState(stateWarm) })
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

// setState sets the state, unless the target is already leaving, and announces
// it immediately.
func (a *announcer) setState(state string) {
	a.mu.Lock()
	if a.message.State != stateLeaving {
		a.message.State = state
	}
	a.mu.Unlock()
	a.send()
}

func (a *announcer) announceLeaving() { a.setState(stateLeaving) }

// send announces the target once. It logs an error or a rejection; the next
// announcement follows after announceInterval at the latest.
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
		log.Printf("announce the target: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		problem, _ := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		log.Printf("announcement rejected with status %s: %s", resp.Status, problem)
	}
}
