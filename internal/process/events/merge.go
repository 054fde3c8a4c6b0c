package events

import (
	"cmp"
	"container/heap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Compare orders two events by timestamp and then by process name, so that
// every reader sees the same order.
func Compare(a, b protocol.Event) int {
	return cmp.Or(
		cmp.Compare(a.Wall, b.Wall),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Process, b.Process),
	)
}

// Merge merges the events of several processes into one list ordered by
// Compare. Each input list must be ordered by Compare.
func Merge(lists ...[]protocol.Event) []protocol.Event {
	total := 0
	var heads cursors
	for i, list := range lists {
		total += len(list)
		if len(list) > 0 {
			heads = append(heads, cursor{list, i})
		}
	}
	heap.Init(&heads)
	merged := make([]protocol.Event, 0, total)
	for len(heads) > 0 {
		first := &heads[0]
		merged = append(merged, first.rest[0])
		first.rest = first.rest[1:]
		if len(first.rest) == 0 {
			heap.Pop(&heads)
		} else {
			heap.Fix(&heads, 0)
		}
	}
	return merged
}

// cursor is the part of one input list that is not merged yet.
type cursor struct {
	rest  []protocol.Event
	index int
}

// cursors is a heap of cursors whose first element has the oldest event.
type cursors []cursor

func (c cursors) Len() int { return len(c) }

func (c cursors) Less(i, j int) bool {
	order := Compare(c[i].rest[0], c[j].rest[0])
	return cmp.Or(order, cmp.Compare(c[i].index, c[j].index)) < 0
}

func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *cursors) Push(x any) { *c = append(*c, x.(cursor)) }

func (c *cursors) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
