package permit

import "sync"

// shard holds the counters of a part of the requests under its own lock.
type shard struct {
	mu   sync.Mutex
	left map[string]int
}

func (s *shard) open(requestID string, retries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.left[requestID]; ok {
		return
	}
	s.left[requestID] = retries
}

func (s *shard) close(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.left, requestID)
}

func (s *shard) take(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.left[requestID]
	if n <= 0 {
		return false
	}
	s.left[requestID] = n - 1
	return true
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.left)
}
