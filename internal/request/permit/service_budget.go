package permit

import "sync"

// Defaults of the retry budget of one service at one daemon.
const (
	// DefaultRatio is the number of retries per first attempt.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries allowed in addition to the ratio.
	DefaultBurst = 10
)

// serviceBudgets holds one retry budget for each service.
type serviceBudgets struct {
	ratio         float64
	burst         float64
	firstAttempts func(service string) uint64

	mu sync.Mutex
	// budgets holds the budgets by service.
	budgets map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service, a token bucket. Each first attempt
// adds ratio tokens, each retry costs one, and the bucket holds at most burst tokens.
type serviceBudget struct {
	tokens float64
	// countedAttempts is the number of first attempts that have added tokens.
	countedAttempts uint64
}

func newServiceBudgets(o Options) *serviceBudgets {
	s := &serviceBudgets{ratio: o.Ratio, burst: o.Burst, firstAttempts: o.FirstAttempts, budgets: make(map[string]*serviceBudget)}
	if s.ratio == 0 {
		s.ratio = DefaultRatio
	}
	if s.burst == 0 {
		s.burst = DefaultBurst
	}
	if s.firstAttempts == nil {
		s.firstAttempts = func(string) uint64 { return 0 }
	}
	return s
}

// take takes one token for a retry to the service, if there is one.
func (s *serviceBudgets) take(service string) bool {
	total := s.firstAttempts(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(service)
	s.refill(b, total)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a retry for which the permit was denied.
func (s *serviceBudgets) refund(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(service)
	b.tokens = min(b.tokens+1, s.burst)
}

// refill adds the tokens of the first attempts that b has not counted. total is the
// number of all first attempts.
func (s *serviceBudgets) refill(b *serviceBudget, total uint64) {
	if total <= b.countedAttempts {
		return
	}
	b.tokens += s.ratio * float64(total-b.countedAttempts)
	b.tokens = min(b.tokens, s.burst)
	b.countedAttempts = total
}

func (s *serviceBudgets) budget(name string) *serviceBudget {
	b, ok := s.budgets[name]
	if !ok {
		b = &serviceBudget{tokens: s.burst}
		s.budgets[name] = b
	}
	return b
}
