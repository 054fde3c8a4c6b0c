package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// BenchmarkGrant measures the time of one token request at the issuer, and the
// heap that the issuer uses per team and holder.
func BenchmarkGrant(b *testing.B) {
	for _, holders := range []int{12, 150, 1500} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			const teams = 20
			s := NewIssuer()
			s.Reset(epoch)
			now := epoch.Add(2 * TokenTTL)
			before := heapInUse()
			for i := range b.N {
				now = now.Add(time.Second / time.Duration(teams*holders))
				name := fmt.Sprint("team", i%teams)
				request := protocol.QuotaRequest{Team: name, Want: 2, Sequence: uint64(i + 1), Spent: uint64(2 * i)}
				s.Grant(now, fmt.Sprint("holder", i/teams%holders), request, version.Team{Name: name, Rate: 1e5, Burst: 1e5})
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(teams*holders), "heap-B/team-holder")
			runtime.KeepAlive(s)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
