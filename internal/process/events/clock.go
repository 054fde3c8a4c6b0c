package events

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxClockSkew is the most that a remote timestamp may be ahead of the local
// physical clock. Timestamps further ahead are ignored, so that one wrong
// physical clock cannot advance the clocks of all processes.
const MaxClockSkew = time.Minute

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is the physical part, in nanoseconds since the Unix epoch.
	Wall int64
	// Logical orders readings with the same Wall.
	Logical uint32
}

// Compare returns -1 if t is before u, 0 if they are equal and 1 if t is after
// u.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.Wall, u.Wall), cmp.Compare(t.Logical, u.Logical))
}

// String returns the form that ParseTimestamp parses: Wall and Logical as
// hexadecimal numbers with a dot between them.
func (t Timestamp) String() string {
	return strconv.FormatInt(t.Wall, 16) + "." + strconv.FormatUint(uint64(t.Logical), 16)
}

// ParseTimestamp parses the form that String returns. The second result is
// false if s has another form.
func ParseTimestamp(s string) (Timestamp, bool) {
	wallText, logicalText, found := strings.Cut(s, ".")
	if !found {
		return Timestamp{}, false
	}
	wall, err := strconv.ParseInt(wallText, 16, 64)
	if err != nil || wall < 0 {
		return Timestamp{}, false
	}
	logical, err := strconv.ParseUint(logicalText, 16, 32)
	if err != nil {
		return Timestamp{}, false
	}
	return Timestamp{wall, uint32(logical)}, true
}

// next returns the smallest timestamp after t.
func (t Timestamp) next() Timestamp {
	if t.Logical == math.MaxUint32 {
		return Timestamp{t.Wall + 1, 0}
	}
	return Timestamp{t.Wall, t.Logical + 1}
}

// Clock is a hybrid logical clock. Invariant: each reading is after all earlier
// readings and after all remote timestamps observed before that were not more
// than MaxClockSkew ahead, even if the physical clock jumps. Its methods may be
// called from any goroutine.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Tick returns a new reading at the physical time now.
func (c *Clock) Tick(now time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now)
}

// Observe merges the timestamp of a message that was received from another
// process at the physical time now, and returns a new reading after it. It
// ignores a timestamp that is more than MaxClockSkew ahead of now.
func (c *Clock) Observe(now time.Time, remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	tooFar := remote.Wall > now.Add(MaxClockSkew).UnixNano()
	if !tooFar && remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return c.advance(now)
}

func (c *Clock) advance(now time.Time) Timestamp {
	physical := Timestamp{Wall: now.UnixNano()}
	if physical.Compare(c.last) > 0 {
		c.last = physical
	} else {
		c.last = c.last.next()
	}
	return c.last
}
