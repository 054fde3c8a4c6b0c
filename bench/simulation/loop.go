package simulation

import (
	"container/heap"
	"time"
)

// Loop is a queue of events in virtual time.
type Loop struct {
	now    time.Duration
	count  uint64
	events events
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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

var epoch = time.Unix(1_000_000, 0)

// Now is the time since the start of the run.
func (l *Loop) Now() time.Duration { return l.now }

// Clock is the same time as a time.Time.
func (l *Loop) Clock() time.Time { return epoch.Add(l.now) }

// At runs fn at the given time, or now if that has passed.
func (l *Loop) At(at time.Duration, fn func()) {
	l.count++
	heap.Push(&l.events, event{at: max(at, l.now), order: l.count, run: fn})
}

// After runs fn after d.
func (l *Loop) After(d time.Duration, fn func()) { l.At(l.now+d, fn) }

// Run runs the events until the given time.
func (l *Loop) Run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = until
}
