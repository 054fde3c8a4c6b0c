package renewal

import (
	"fmt"
	"io"
	"sync/atomic"
)

// attemptCounts counts the renewals that were sent to replicas, by their result.
type attemptCounts struct {
	// confirmed renewed the lease, unconfirmed got a reply that did not, and failed got
	// no reply in time.
	confirmed, unconfirmed, failed atomic.Uint64
}

func (c *attemptCounts) countReply(confirmed bool) {
	if confirmed {
		c.confirmed.Add(1)
		return
	}
	c.unconfirmed.Add(1)
}

// WriteMetrics writes the counters of renewals in the Prometheus text format.
func (l *Loop) WriteMetrics(w io.Writer) {
	for _, count := range []struct {
		result string
		n      uint64
	}{{"confirmed", l.attempts.confirmed.Load()}, {"unconfirmed", l.attempts.unconfirmed.Load()}, {"failed", l.attempts.failed.Load()}} {
		_, _ = fmt.Fprintf(w, "teaselrack_renewals_total{result=%q} %d\n", count.result, count.n)
	}
}
