package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// coldSlowdown is the slowdown factor of a target that has just become
	// cold.
	coldSlowdown = 5.0
	// initialColdCapacity is the number of concurrent requests that a target
	// can handle when it has just become cold. The capacity grows by one for
	// every two completed requests.
	initialColdCapacity = 2
	// warmCompletions is the number of completed requests per slot after which
	// a target is warm.
	warmCompletions = 8
	// A silent cold start counts as detectable from outside once
	// slowCountToDetect requests that started cold have visibly been slow: each
	// of them completed, or ran for slowRatio times its work time.
	slowCountToDetect = 3
	slowRatio         = 5
	// overCapacitySlowdown is the slowdown factor of a request above the
	// capacity of a cold target.
	overCapacitySlowdown = 2
)

// target is one server. It has as many workers as slots. Requests above that
// wait in its own FIFO queue; requests above its connection limit are refused. A
// cold target is slower and has a lower capacity until it is warm.
type target struct {
	loop    *Loop
	random  *rand.Rand
	name    string
	service *Service
	domain  string

	alive       bool
	incarnation int
	// slowdown multiplies the service time of every request.
	slowdown float64
	// failShare is the share of requests that fail immediately.
	failShare float64

	running []*job
	queue   []*job

	cold          bool
	silent        bool
	coldCompleted int
	slowCount     int

	// violations counts requests that started above the capacity of a cold
	// target.
	// undetectable counts those that came before the cold start could be
	// detected from outside; they are not included in violations.
	violations   int
	undetectable int
}

// job is one request at a target.
type job struct {
	work        time.Duration
	request     *Request
	startedAt   time.Duration
	startedCold bool
	countedSlow bool
	ended       bool
	// onFinished receives the result of the job and its service time.
	onFinished func(result jobResult, took time.Duration)
	// onConnectionLost is called when the connection breaks while a finished
	// job still holds its worker during its own calls.
	onConnectionLost func()
}

// jobResult is the result of a job.
type jobResult uint8

const (
	resultOK jobResult = iota
	resultFailed
	resultReset
	resultRefused
)

func (t *target) submit(j *job) {
	switch {
	case !t.alive:
		t.loop.After(0, func() { j.finish(resultRefused, 0) })
	case len(t.running) < t.service.Slots:
		t.start(j)
	case len(t.running)+len(t.queue) < t.service.Connections:
		t.queue = append(t.queue, j)
	default:
		t.loop.After(0, func() { j.finish(resultRefused, 0) })
	}
}

func (t *target) start(j *job) {
	slowdown := t.slowdown
	j.startedCold = t.cold
	if t.cold {
		slowdown *= t.coldFactor()
		if len(t.running) >= t.coldCapacity() {
			t.countViolation()
			slowdown *= overCapacitySlowdown
		}
	}
	j.startedAt = t.loop.Now()
	if j.startedCold {
		t.loop.After(slowRatio*j.work, func() { t.countSlow(j) })
	}
	t.running = append(t.running, j)
	if t.failShare > 0 && t.random.Float64() < t.failShare {
		t.loop.After(delaySameDomain, func() { t.complete(j, resultFailed) })
		return
	}
	t.loop.After(t.sampleServiceTime(j.work, slowdown), func() { t.complete(j, resultOK) })
}

// sampleServiceTime returns a random service time: half of it is constant, half
// is exponentially distributed.
func (t *target) sampleServiceTime(work time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(work) * slowdown * (0.5 + 0.5*t.random.ExpFloat64()))
}

func (t *target) complete(j *job, result jobResult) {
	if j.ended {
		return
	}
	if j.startedCold && t.cold {
		t.countSlow(j)
		t.coldCompleted++
		t.cold = t.coldCompleted < warmCompletions*t.service.Slots
	}
	j.finish(result, t.loop.Now()-j.startedAt)
}

// countSlow counts a cold request that has visibly been slow, once per job.
func (t *target) countSlow(j *job) {
	if !j.countedSlow {
		j.countedSlow = true
		t.slowCount++
	}
}

// release frees the worker of a finished job. The job holds it while it makes
// its own calls.
func (t *target) release(j *job) {
	t.remove(j)
	t.startNext()
}

// cancel ends a job whose request was canceled.
func (t *target) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if i := slices.Index(t.queue, j); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return
	}
	j.request.addTargetTime(t.loop.Now() - j.startedAt)
	t.remove(j)
	t.startNext()
}

func (t *target) startNext() {
	if len(t.queue) == 0 || len(t.running) >= t.service.Slots {
		return
	}
	j := t.queue[0]
	t.queue = t.queue[1:]
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

// resetConnections breaks all connections.
func (t *target) resetConnections() {
	jobs := slices.Concat(t.running, t.queue)
	t.running, t.queue = nil, nil
	for _, j := range jobs {
		if j.ended {
			j.onConnectionLost()
			continue
		}
		j.finish(resultReset, t.loop.Now()-j.startedAt)
	}
}

// becomeCold makes the target cold. A cold start is silent if nothing reveals
// it immediately: no announcement, and no request whose connection breaks.
func (t *target) becomeCold(silent bool) {
	t.cold, t.silent = true, silent
	t.coldCompleted, t.slowCount = 0, 0
}

// coldFactor returns the slowdown factor of a cold target. It falls linearly
// from coldSlowdown to 1 with the completed requests.
func (t *target) coldFactor() float64 {
	warmFraction := float64(t.coldCompleted) / float64(warmCompletions*t.service.Slots)
	return coldSlowdown - (coldSlowdown-1)*min(warmFraction, 1)
}

// coldCapacity returns how many concurrent requests the cold target can handle.
func (t *target) coldCapacity() int {
	return min(initialColdCapacity+t.coldCompleted/2, t.service.Slots)
}

// countViolation counts a request above the cold capacity, as undetectable if
// the cold start could not be detected yet.
func (t *target) countViolation() {
	if t.silent && t.slowCount < slowCountToDetect {
		t.undetectable++
		return
	}
	t.violations++
}

func (j *job) finish(result jobResult, took time.Duration) {
	if j.ended {
		return
	}
	j.ended = true
	j.request.addTargetTime(took)
	j.onFinished(result, took)
}
