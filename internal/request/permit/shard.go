package permit

import "sync"

// shard holds the counters of a subset of the requests under its own lock.
type shard struct {
	mu sync.Mutex
	// remaining holds the number of permits left, by request ID.
	remaining map[string]int
}

func (s *shard) open(requestID string, retries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.remaining[requestID]; ok {
		return
	}
	s.remaining[requestID] = retries
}

func (s *shard) close(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.remaining, requestID)
}

func (s *shard) take(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.remaining[requestID]
	if n <= 0 {
		return false
	}
	s.remaining[requestID] = n - 1
	return true
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.remaining)
}
