package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// spender drives holders of one team against an issuer that some of them may
// lose.
type spender struct {
	issuer *Issuer
	team   version.Team
	// daemons is how many share the rate.
	daemons int
	mu      sync.Mutex
	cut     map[int]bool
	runs    []time.Time
	// waits are how long refused requests waited.
	waits []time.Duration
}

func (s *spender) isCut(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[i]
}

func (s *spender) cutOff(daemons ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = make(map[int]bool)
	for _, i := range daemons {
		s.cut[i] = true
	}
}

func (s *spender) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// end lets everything that still waits come to its end.
func (s *spender) end(cancel func()) {
	cancel()
	time.Sleep(time.Minute)
}

func (s *spender) holder(ctx context.Context, i int) *Holder {
	h := NewHolder(time.Now, func(ctx context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
		sentAt := time.Now()
		if s.isCut(i) {
			<-ctx.Done()
			return nil, sentAt, fault.New(fault.QuotaUnavailable, "cut off")
		}
		var grants []protocol.QuotaGrant
		for _, ask := range asks {
			grants = append(grants, s.issuer.Grant(time.Now(), string(rune('a'+i)), ask, s.team))
		}
		return grants, sentAt, nil
	})
	h.OutlastOutages(15*time.Second, func(string) float64 { return s.team.Rate / float64(s.daemons) })
	go func() { _ = h.Run(ctx) }()
	return h
}

// run has each of n holders try a request at a rate for some time, and returns
// how many of the requests ran.
func (s *spender) run(holders []*Holder, each float64, d time.Duration) (tried, ran int) {
	end := time.Now().Add(d)
	pause := time.Duration(float64(time.Second) / each)
	done := make(chan int)
	for _, h := range holders {
		go func() {
			n := 0
			for time.Now().Before(end) {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				go func() {
					defer cancel()
					began := time.Now()
					err := h.Take(ctx, s.team.Name)
					s.mu.Lock()
					defer s.mu.Unlock()
					if err == nil {
						s.runs = append(s.runs, time.Now())
					} else {
						s.waits = append(s.waits, time.Since(began))
					}
				}()
				n++
				time.Sleep(pause)
			}
			done <- n
		}()
	}
	before := s.ran()
	for range holders {
		tried += <-done
	}
	return tried, s.ran() - before
}

// TestTeamOutlastsAnOutage: a team below its limit goes on while no issuer
// answers. Before, all of it was refused.
func TestTeamOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &spender{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: 80, Burst: 80}, daemons: 4}
		s.issuer.Reset(time.Now().Add(-time.Hour))
		var holders []*Holder
		for i := range 4 {
			holders = append(holders, s.holder(ctx, i))
		}
		s.run(holders, 12, 5*time.Second)
		s.cutOff(0, 1, 2, 3)
		tried, ran := s.run(holders, 12, 5*time.Second)
		s.end(cancel)
		must.Greater(t, float64(tried)*outageShare*0.8, float64(ran))
	})
}

// TestOutageKeepsTheLimit: a third of the daemons lose the issuer, and the team
// asks for eight times its rate before, while and after. No window of five
// seconds may see more than a tenth and 20 above rate and burst.
func TestOutageKeepsTheLimit(t *testing.T) {
	for _, rate := range []float64{20, 80, 240} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &spender{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: rate, Burst: rate}, daemons: 6}
			s.issuer.Reset(time.Now().Add(-time.Hour))
			var holders []*Holder
			for i := range 6 {
				holders = append(holders, s.holder(ctx, i))
			}
			s.run(holders, rate*0.6/6, 6*time.Second)
			s.cutOff(0, 1)
			s.run(holders, rate*8/6, 6*time.Second)
			s.cutOff(2, 3)
			s.run(holders, rate*8/6, 6*time.Second)
			s.end(cancel)
			s.mu.Lock()
			defer s.mu.Unlock()
			const window = 5 * time.Second
			limit := (rate*window.Seconds()+rate)*1.1 + 20
			for i := range s.runs {
				n := 0
				for _, at := range s.runs[i:] {
					if at.Sub(s.runs[i]) < window {
						n++
					}
				}
				must.LessEq(t, int(limit), n)
			}
		})
	}
}

// TestRestartedDaemonsWithoutAnIssuer: every process has ended at once, and the
// daemons are back before an issuer is.
func TestRestartedDaemonsWithoutAnIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &spender{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: 80, Burst: 80}, daemons: 4}
		s.cutOff(0, 1, 2, 3)
		var holders []*Holder
		for i := range 4 {
			holders = append(holders, s.holder(ctx, i))
		}
		_, ran := s.run(holders, 40, 5*time.Second)
		s.end(cancel)
		must.Greater(t, int(80*fairShare*4), ran)
		must.Less(t, 80*5, ran)
	})
}
