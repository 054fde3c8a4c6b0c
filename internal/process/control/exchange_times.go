package control

import (
	"sync"
	"time"
)

// exchangeTimes records, for each other replica, when the last exchange of the registry
// began that left nothing to ask for.
type exchangeTimes struct {
	mu    sync.Mutex
	began map[string]time.Time // by address
}

func (e *exchangeTimes) record(address string, began time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.began == nil {
		e.began = make(map[string]time.Time)
	}
	e.began[address] = began
}

func (e *exchangeTimes) remove(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.began, address)
}

// lastBegan returns when the last complete exchange with a replica began; zero if there was
// none.
func (e *exchangeTimes) lastBegan(address string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.began[address]
}
