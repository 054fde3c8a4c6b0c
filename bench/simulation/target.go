package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// coldSlowdown is how much slower a target is when it has just turned cold.
	coldSlowdown = 5.0
	// coldBears is how many requests a target bears that has just turned cold;
	// one more for each two that it completes.
	coldBears = 2
	// warmAfter is how many completions, for each slot, warm a target.
	warmAfter = 8
	// evidenceCount is how many requests that began cold must have been seen to
	// be slow for a silent change to be seen from outside: each of them ended,
	// or ran for evidenceRatio times its usual time.
	evidenceCount = 3
	evidenceRatio = 5
	// thrash is how much longer a request takes that a cold target can't bear.
	thrash = 2
)

// target is one server. It has as many workers as slots; what comes above that
// waits in its own line, first in, first out, up to its connections.
type target struct {
	loop    *Loop
	random  *rand.Rand
	name    string
	service *Service
	domain  string

	alive       bool
	incarnation int
	// slowdown stretches every request.
	slowdown float64
	// broken is the share of requests that fail at once.
	broken float64

	running []*job
	line    []*job

	cold      bool
	silent    bool
	coldDone  int
	coldShown int

	// violations counts requests above what a cold target bears, early those of
	// them that came before the change could be seen.
	violations int
	early      int
}

// job is one request at a target.
type job struct {
	work    time.Duration
	request *Request
	began   time.Duration
	isCold  bool
	shown   bool
	ended   bool
	// finished receives how the job ended and the target's own time.
	finished func(end jobEnd, took time.Duration)
	// lost is called where the connection breaks while a finished job still
	// holds its worker for its own calls.
	lost func()
}

// jobEnd is how a job ended.
type jobEnd uint8

const (
	endOK jobEnd = iota
	endFailed
	endReset
	endRefused
)

func (t *target) submit(j *job) {
	switch {
	case !t.alive:
		t.loop.After(0, func() { j.finish(endRefused, 0) })
	case len(t.running) < t.service.Slots:
		t.start(j)
	case len(t.running)+len(t.line) < t.service.Connections:
		t.line = append(t.line, j)
	default:
		t.loop.After(0, func() { j.finish(endRefused, 0) })
	}
}

func (t *target) start(j *job) {
	stretch := t.slowdown
	j.isCold = t.cold
	if t.cold {
		stretch *= t.coldFactor()
		if len(t.running) >= t.bears() {
			t.violate()
			stretch *= thrash
		}
	}
	j.began = t.loop.Now()
	if j.isCold {
		t.loop.After(evidenceRatio*j.work, func() { t.show(j) })
	}
	t.running = append(t.running, j)
	if t.broken > 0 && t.random.Float64() < t.broken {
		t.loop.After(delayNear, func() { t.complete(j, endFailed) })
		return
	}
	t.loop.After(t.draw(j.work, stretch), func() { t.complete(j, endOK) })
}

// draw is half fixed and half exponential.
func (t *target) draw(work time.Duration, stretch float64) time.Duration {
	return time.Duration(float64(work) * stretch * (0.5 + 0.5*t.random.ExpFloat64()))
}

func (t *target) complete(j *job, e jobEnd) {
	if j.ended {
		return
	}
	if j.isCold && t.cold {
		t.show(j)
		t.coldDone++
		t.cold = t.coldDone < warmAfter*t.service.Slots
	}
	j.finish(e, t.loop.Now()-j.began)
}

// show counts a cold request that can be seen to be slow.
func (t *target) show(j *job) {
	if !j.shown {
		j.shown = true
		t.coldShown++
	}
}

// release frees the worker of a finished job, which it holds while it makes
// its own calls.
func (t *target) release(j *job) {
	t.remove(j)
	t.next()
}

// cancel ends a job whose request is no longer wanted.
func (t *target) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if i := slices.Index(t.line, j); i >= 0 {
		t.line = slices.Delete(t.line, i, i+1)
		return
	}
	j.request.worked(t.loop.Now() - j.began)
	t.remove(j)
	t.next()
}

func (t *target) next() {
	if len(t.line) == 0 || len(t.running) >= t.service.Slots {
		return
	}
	j := t.line[0]
	t.line = t.line[1:]
	t.start(j)
}

func (t *target) remove(j *job) {
	i := slices.Index(t.running, j)
	if i < 0 {
		return
	}
	last := len(t.running) - 1
	t.running[i] = t.running[last]
	t.running = t.running[:last]
}

// reset breaks every connection.
func (t *target) reset() {
	jobs := slices.Concat(t.running, t.line)
	t.running, t.line = nil, nil
	for _, j := range jobs {
		if j.ended {
			j.lost()
			continue
		}
		j.finish(endReset, t.loop.Now()-j.began)
	}
}

// turnCold makes the target cold; silent where nothing shows it at once: no
// announcement, and no request whose connection breaks.
func (t *target) turnCold(silent bool) {
	t.cold, t.silent = true, silent
	t.coldDone, t.coldShown = 0, 0
}

func (t *target) coldFactor() float64 {
	warmth := float64(t.coldDone) / float64(warmAfter*t.service.Slots)
	return coldSlowdown - (coldSlowdown-1)*min(warmth, 1)
}

func (t *target) bears() int {
	return min(coldBears+t.coldDone/2, t.service.Slots)
}

func (t *target) violate() {
	if t.silent && t.coldShown < evidenceCount {
		t.early++
		return
	}
	t.violations++
}

func (j *job) finish(e jobEnd, took time.Duration) {
	if j.ended {
		return
	}
	j.ended = true
	j.request.worked(took)
	j.finished(e, took)
}
