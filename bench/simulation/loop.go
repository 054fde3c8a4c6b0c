package simulation

import (
	"container/heap"
	"time"
)

// Loop is an event loop in virtual time. Events of the same time run in the
// order in which they were added.
type Loop struct {
	now          time.Duration
	lastSequence uint64
	events       events
}

type event struct {
	at       time.Duration
	sequence uint64
	fn       func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return v
}

// epoch is the clock time at which each run starts.
var epoch = time.Unix(1_000_000, 0)

// Now returns the time since the start of the run.
func (l *Loop) Now() time.Duration { return l.now }

// Clock returns the same time as a time.Time.
func (l *Loop) Clock() time.Time { return epoch.Add(l.now) }

// At schedules fn at the given time, or at the current time if that has passed.
func (l *Loop) At(at time.Duration, fn func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: max(at, l.now), sequence: l.lastSequence, fn: fn})
}

// After schedules fn for d after the current time.
func (l *Loop) After(d time.Duration, fn func()) { l.At(l.now+d, fn) }

// Run runs the events up to and including the given time, and sets the clock to
// it.
func (l *Loop) Run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = until
}
