package relay

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

// The times of a process that has six seconds for its shutdown: it closes its connections
// stopAfter after SIGTERM. In the last sixth of the six seconds it may break requests off.
const (
	stopAnnounce = 2500 * time.Millisecond
	stopGrace    = 4400 * time.Millisecond
	stopAfter    = 5200 * time.Millisecond
	lastSixth    = 5 * time.Second
	// requestLimit is the time limit of the requests.
	requestLimit = 20 * time.Second
)

// process serves the handlers of an instance so that they can be shut down together.
type process struct {
	inst    *instance
	drain   *drain.Drain
	servers []*http.Server
}

// newProcess serves the handlers of an instance once more, as one process. Other instances
// then use it in place of the earlier listeners.
func (m *mesh) newProcess(inst *instance) *process {
	p := &process{inst: inst, drain: drain.New()}
	p.drain.UntilIdle, p.drain.AnnouncePeriod, p.drain.GracePeriod = true, stopAnnounce, stopGrace
	inst.entry.Shutdown, inst.peerHandler.Shutdown = p.drain.Schedule, p.drain.Schedule
	inst.entryAddress = m.track(p, "entry", inst.entry)
	m.records.Lock()
	defer m.records.Unlock()
	inst.record.PeerAddress = m.track(p, "peer", inst.peerHandler)
	return p
}

func (m *mesh) track(p *process, name string, h drain.LimitedHandler) (address string) {
	m.addresses++
	address = "10.0.1." + strconv.Itoa(m.addresses) + ":80"
	server := &http.Server{Handler: h}
	p.drain.Track(server, name, h)
	p.servers = append(p.servers, server)
	ln := m.network.Listen(address)
	go func() { _ = server.Serve(ln) }()
	m.t.Cleanup(func() { _ = server.Close() })
	return address
}

// shutDown begins the shutdown.
func (p *process) shutDown() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopAfter)
		defer cancel()
		_ = p.drain.Run(ctx, p.servers...)
	}()
}

// sentRequest is how a request ended, and when after the SIGTERM.
type sentRequest struct {
	// status is 0 if the connection was closed without a response.
	status     int
	retryAfter string
	after      time.Duration
}

// sendAt sends a request at a time after sigterm, and returns its end.
func (m *mesh) sendAt(from *instance, sigterm time.Time, at time.Duration) <-chan sentRequest {
	ended := make(chan sentRequest, 1)
	go func() {
		time.Sleep(time.Until(sigterm.Add(at)))
		r, err := http.NewRequest(http.MethodPost, "http://"+from.entryAddress+"/p/x", http.NoBody)
		must.NoError(m.t, err)
		r.Host = host
		r.Header.Set("Teaselrack-Request", "id-1")
		r.Header.Set("Teaselrack-Key", key)
		r.Header.Set("Teaselrack-Timeout", strconv.FormatInt(requestLimit.Milliseconds(), 10))
		client := &http.Client{Transport: &http.Transport{DialContext: m.network.Dial, DisableKeepAlives: true}}
		resp, err := client.Do(r)
		end := sentRequest{after: time.Since(sigterm)}
		if err == nil {
			end.status, end.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
			_ = resp.Body.Close()
		}
		ended <- end
	}()
	return ended
}

// playShutdown runs f on two processes with targets of service s, in virtual time.
func playShutdown(t *testing.T, mode version.Mode, f func(m *mesh, first, second *process)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		m := newMeshOn(t, network, mode, 1, 2)
		m.state = routeState(t, mode, 1, requestLimit, 0)
		defer func() {
			network.Close()
			time.Sleep(time.Minute)
		}()
		f(m, m.newProcess(m.instances[0]), m.newProcess(m.instances[1]))
	})
}

// only makes an instance the only target.
func (m *mesh) only(inst *instance) {
	m.records.Lock()
	defer m.records.Unlock()
	for _, other := range m.instances {
		if other != inst {
			other.record.Service = "other"
		}
	}
}

// workFor makes a target work for d on each request, or until its caller leaves.
func (s *stub) workFor(d time.Duration) {
	s.serveWith(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	})
}

// oneSlot leaves a target one slot.
func (m *mesh) oneSlot(inst *instance) {
	must.NoError(m.t, inst.target.Heartbeat(local.Heartbeat{ID: inst.name, Sequence: 2, Service: inst.record.Service, Address: inst.targetAddress, Slots: 1}))
}

// mustBeRefused checks that a request got a refusal that promises that it has not run,
// before the connections were closed.
func mustBeRefused(t *testing.T, end sentRequest) {
	t.Helper()
	must.Eq(t, http.StatusServiceUnavailable, end.status, must.Sprintf("%+v", end))
	must.NotEq(t, "", end.retryAfter)
	must.Less(t, stopAfter, end.after)
}

// TestRequestThatWaitsAtTheEndOfAShutdownIsCutOff guards against requests from the announce
// period of a shutdown that have reached no target when the connections are closed: they
// must be refused.
func TestRequestThatWaitsAtTheEndOfAShutdownIsCutOff(t *testing.T) {
	const sentAt = 2 * time.Second
	t.Run("for a slot", func(t *testing.T) {
		playShutdown(t, version.Once, func(m *mesh, first, _ *process) {
			m.only(first.inst)
			m.oneSlot(first.inst)
			first.inst.stub.workFor(10 * time.Second)
			sigterm := time.Now()
			first.shutDown()
			working := m.sendAt(first.inst, sigterm, sentAt)
			waiting := m.sendAt(first.inst, sigterm, sentAt+100*time.Millisecond)
			mustBeRefused(t, <-waiting)
			<-working
			must.Eq(t, 1, first.inst.stub.count())
		})
	})
	t.Run("for a slot beside another process", func(t *testing.T) {
		playShutdown(t, version.Once, func(m *mesh, first, second *process) {
			m.only(first.inst)
			m.oneSlot(first.inst)
			first.inst.stub.workFor(10 * time.Second)
			sigterm := time.Now()
			first.shutDown()
			working := m.sendAt(second.inst, sigterm, sentAt)
			mustBeRefused(t, <-m.sendAt(second.inst, sigterm, sentAt+100*time.Millisecond))
			<-working
			must.Eq(t, 1, first.inst.stub.count())
		})
	})
	t.Run("until targets are warm", func(t *testing.T) {
		playShutdown(t, version.Once, func(m *mesh, first, _ *process) {
			observeLevel(first.inst.entry.Levels, "r", shedding.Bottleneck{Service: "deep", Level: 1, Cost: time.Second, EndsIn: 9 * time.Second})
			sigterm := time.Now()
			first.shutDown()
			refused := 0
			for range 20 { // a few of them are not shed
				end := <-m.sendAt(first.inst, sigterm, sentAt)
				must.Less(t, sentAt+time.Second, end.after, must.Sprint("it could not be held in time"))
				if end.status != http.StatusOK {
					mustBeRefused(t, end)
					refused++
				}
			}
			must.Positive(t, refused)
		})
	})
}

// TestRequestAtATargetAtTheEndOfAShutdown checks that a request at which a target works is
// waited for until the last sixth of the time, and then gets a response that promises
// nothing.
func TestRequestAtATargetAtTheEndOfAShutdown(t *testing.T) {
	for _, mode := range []version.Mode{version.Once, version.Idempotent} {
		for _, remote := range []bool{false, true} {
			playShutdown(t, mode, func(m *mesh, first, second *process) {
				first.inst.stub.workFor(10 * time.Second)
				second.inst.stub.workFor(10 * time.Second)
				target := first
				if remote {
					target = second
				}
				m.only(target.inst)
				sigterm := time.Now()
				first.shutDown()
				end := <-m.sendAt(first.inst, sigterm, 2*time.Second)
				must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, end.status, must.Sprintf("%+v", end))
				must.Between(t, lastSixth, end.after, stopAfter)
				must.Eq(t, 1, first.inst.stub.count()+second.inst.stub.count())
			})
		}
	}
}

// TestRequestEndsBeforeTheShutdown checks that a shutdown replaces no response of a target
// that comes in its last moments.
func TestRequestEndsBeforeTheShutdown(t *testing.T) {
	playShutdown(t, version.Once, func(m *mesh, first, _ *process) {
		m.only(first.inst)
		first.inst.stub.workFor(2950 * time.Millisecond)
		sigterm := time.Now()
		first.shutDown()
		end := <-m.sendAt(first.inst, sigterm, 2100*time.Millisecond)
		must.Eq(t, http.StatusOK, end.status)
	})
}

// TestNoAttemptWithoutTimeInAShutdown guards against a second attempt so late in a shutdown
// that it would be broken off at its target.
func TestNoAttemptWithoutTimeInAShutdown(t *testing.T) {
	playShutdown(t, version.Idempotent, func(m *mesh, first, second *process) {
		m.state = routeState(t, version.Idempotent, 1, requestLimit, time.Second)
		var sigterm time.Time
		for _, p := range []*process{first, second} {
			p.inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Until(sigterm.Add(4500 * time.Millisecond)))
				hijackAndClose(w)
			})
		}
		sigterm = time.Now()
		first.shutDown()
		end := <-m.sendAt(first.inst, sigterm, 2*time.Second)
		must.Eq(t, http.StatusBadGateway, end.status)
		must.Eq(t, 1, first.inst.stub.count()+second.inst.stub.count())
	})
}

// TestRequestAtATargetWhoseDaemonStops checks what the entry makes of a request that the
// daemon beside the target breaks off: it tries another target where that is allowed, and
// promises nothing otherwise.
func TestRequestAtATargetWhoseDaemonStops(t *testing.T) {
	for mode, status := range map[version.Mode]int{version.Once: http.StatusBadGateway, version.Idempotent: http.StatusOK} {
		playShutdown(t, mode, func(m *mesh, first, second *process) {
			first.inst.stub.workFor(10 * time.Second)
			m.only(first.inst)
			sigterm := time.Now()
			first.shutDown()
			ended := m.sendAt(second.inst, sigterm, 2*time.Second)
			time.Sleep(3 * time.Second)
			m.records.Lock()
			second.inst.record.Service = "s"
			m.records.Unlock()
			end := <-ended
			must.Eq(t, status, end.status)
			must.Between(t, lastSixth, end.after, stopAfter)
		})
	}
}

// TestFailedRequestIsNotRepeatedWithoutTimeInAShutdown guards against the repeat of a request
// that its target failed late in a shutdown, which takes as long again and would be broken off.
func TestFailedRequestIsNotRepeatedWithoutTimeInAShutdown(t *testing.T) {
	for failedAt, arrivals := range map[time.Duration]int{4 * time.Second: 1, 2400 * time.Millisecond: 2} {
		playShutdown(t, version.Idempotent, func(m *mesh, first, second *process) {
			const sentAt = 2 * time.Second
			for _, p := range []*process{first, second} {
				p.inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(failedAt - sentAt)
					w.WriteHeader(http.StatusInternalServerError)
				})
			}
			sigterm := time.Now()
			first.shutDown()
			end := <-m.sendAt(first.inst, sigterm, sentAt)
			must.Eq(t, http.StatusInternalServerError, end.status)
			must.Eq(t, arrivals, first.inst.stub.count()+second.inst.stub.count(), must.Sprint(failedAt))
		})
	}
}
