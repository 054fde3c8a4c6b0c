package permit

import "sync"

// Defaults of the retry ratio of one service at one process.
const (
	// DefaultRatio is the share of retries to first attempts.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries above the ratio.
	DefaultBurst = 10
)

// ratios holds one retry ratio for each service.
type ratios struct {
	share    float64
	burst    float64
	requests func(service string) uint64

	mu       sync.Mutex
	services map[string]*ratio
}

// ratio is the retry budget of one service: it gains share for each first
// attempt and loses one for each retry, and never holds more than the burst.
type ratio struct {
	level float64
	seen  uint64
}

func newRatios(o Options) *ratios {
	r := &ratios{share: o.Ratio, burst: o.Burst, requests: o.Requests, services: make(map[string]*ratio)}
	if r.share == 0 {
		r.share = DefaultRatio
	}
	if r.burst == 0 {
		r.burst = DefaultBurst
	}
	if r.requests == nil {
		r.requests = func(string) uint64 { return 0 }
	}
	return r
}

// take spends one retry of the service, if there is one.
func (r *ratios) take(service string) bool {
	total := r.requests(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(service)
	r.earn(v, total)
	if v.level < 1 {
		return false
	}
	v.level--
	return true
}

// giveBack returns a retry that was not granted.
func (r *ratios) giveBack(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(service)
	v.level = min(v.level+1, r.burst)
}

func (r *ratios) earn(v *ratio, total uint64) {
	if total <= v.seen {
		return
	}
	v.level += r.share * float64(total-v.seen)
	v.level = min(v.level, r.burst)
	v.seen = total
}

func (r *ratios) service(name string) *ratio {
	v, ok := r.services[name]
	if !ok {
		v = &ratio{level: r.burst}
		r.services[name] = v
	}
	return v
}
