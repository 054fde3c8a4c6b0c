package shedding

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Levels holds what this process knows of the levels of routes. Its methods may
// be called from any goroutine.
type Levels struct {
	mu     sync.Mutex
	routes map[string]*known
}

// known is the level of one route, as the answers of its targets state it.
type known struct {
	// direct is that of the targets themselves, below that of the routes which
	// they call for it.
	direct, below float64
	at            time.Time
}

// smoothing is the part of a newly stated level in the one that is kept:
// several targets of a route state levels of their own.
const smoothing = 0.2

// Stated is the level of one route as an answer carries it.
type Stated struct {
	Direct float64
	Below  float64
}

// String returns the form of s in a header.
func (s Stated) String() string {
	return strconv.FormatFloat(s.Direct, 'f', 2, 64) + " " + strconv.FormatFloat(s.Below, 'f', 2, 64)
}

// ParseStated reads what String wrote.
func ParseStated(text string) (Stated, error) {
	direct, below, _ := strings.Cut(text, " ")
	d, err := strconv.ParseFloat(direct, 64)
	if err != nil {
		return Stated{}, fmt.Errorf("the level %q is not understood", text)
	}
	b, err := strconv.ParseFloat(below, 64)
	if err != nil {
		return Stated{}, fmt.Errorf("the level %q is not understood", text)
	}
	return Stated{Direct: d, Below: b}, nil
}

// Observe takes the level that an answer to a request of the route states.
func (l *Levels) Observe(now time.Time, route string, s Stated) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known(route)
	k.settle(now)
	k.direct += smoothing * (s.Direct - k.direct)
	k.below += smoothing * (s.Below - k.below)
	k.at = now
}

func (l *Levels) known(route string) *known {
	if l.routes == nil {
		l.routes = make(map[string]*known)
	}
	k, ok := l.routes[route]
	if !ok {
		k = &known{}
		l.routes[route] = k
	}
	return k
}

// settle lets the level sink that nobody has stated for some time: while all
// requests are shed, nothing would state a lower one.
func (k *known) settle(now time.Time) {
	silent := now.Sub(k.at) - decayAfter
	if silent <= 0 {
		return
	}
	down := decayRate * silent.Seconds()
	k.direct = max(k.direct-down, 0)
	k.below = max(k.below-down, 0)
	k.at = now.Add(-decayAfter)
}

// Route returns the level of a route.
func (l *Levels) Route(now time.Time, route string) Stated {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.routes[route]
	if !ok {
		return Stated{}
	}
	k.settle(now)
	return Stated{Direct: k.direct, Below: k.below}
}

// Highest returns the highest level of several routes, each with what lies
// below it.
func (l *Levels) Highest(now time.Time, routes []string) float64 {
	highest := 0.0
	for _, name := range routes {
		s := l.Route(now, name)
		highest = max(highest, s.Direct, s.Below)
	}
	return highest
}

// Share returns the share of the requests to turn away. position counts the
// ranks from the least urgent, which is 0. A level of 2 sheds all requests of
// the least urgent rank: first those that load the deep service by calls, then
// those that go to it directly.
func (s Stated) Share(position int) float64 {
	base := 2 * float64(position)
	below := clamp(s.Below - base)
	direct := clamp(s.Direct - base - 1)
	return max(below, direct)
}

func clamp(v float64) float64 { return min(max(v, 0), 1) }
