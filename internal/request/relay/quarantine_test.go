package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// maxDeadlyRetries is how often a request may reach targets later than
	// quarantineTime after it crashed the third.
	maxDeadlyRetries = 3
	quarantineTime   = 3 * time.Second
	downTime         = 3 * time.Second
	deadlyPath       = "/p/deadly"
	serviceTime      = 60 * time.Millisecond
)

// crashingMesh is a mesh in virtual time whose targets crash when they run deadlyPath.
type crashingMesh struct {
	*mesh
	table *quarantine.Table
	inbox *quarantine.Inbox

	began time.Time
	// serviceTimes are those of the first starts of a target. Later ones take serviceTime.
	serviceTimes []time.Duration

	mu    sync.Mutex
	crash map[*instance]func()
	// starts is the number of the current start of each target.
	starts  map[*instance]int
	crashes []time.Time
	late    int
}

func newCrashingMesh(t *testing.T, targets int) *crashingMesh {
	m := &crashingMesh{mesh: newMeshOn(t, memnet.New(time.Millisecond), version.Idempotent, 1, targets), crash: make(map[*instance]func()), starts: make(map[*instance]int), began: time.Now()}
	m.table, m.inbox = quarantine.NewTable(), quarantine.NewInbox()
	for _, inst := range m.instances {
		m.start(inst, 0)
	}
	return m
}

// start starts the target of an instance for the nth time.
func (m *crashingMesh) start(inst *instance, n int) {
	stop := m.serveAt(inst.targetAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.run(inst, n, w, r) }))
	m.mu.Lock()
	m.crash[inst] = stop
	m.starts[inst] = n
	m.mu.Unlock()
	must.NoError(m.t, inst.target.Heartbeat(local.Heartbeat{
		ID: inst.name, Started: int64(n + 1), Sequence: 2, Service: inst.record.Service, Address: inst.targetAddress, Slots: 100,
	}))
}

// run serves a request at the nth start of a target.
func (m *crashingMesh) run(inst *instance, n int, w http.ResponseWriter, r *http.Request) {
	if n < len(m.serviceTimes) {
		time.Sleep(m.serviceTimes[n])
	} else {
		time.Sleep(serviceTime)
	}
	if r.URL.Path != deadlyPath {
		id := DefaultNames().RequestID
		w.Header().Set(id, r.Header.Get(id))
		_, _ = w.Write([]byte("ok"))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crash[inst] == nil {
		return
	}
	if len(m.crashes) >= 3 && time.Since(m.crashes[2]) > quarantineTime {
		m.late++
	}
	m.crashes = append(m.crashes, time.Now())
	m.crash[inst]()
	m.crash[inst] = nil
	time.AfterFunc(downTime, func() { m.start(inst, n+1) })
}

// renew connects the daemons with a control replica until the time has passed.
func (m *crashingMesh) renew(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, inst := range m.instances {
			var request protocol.RenewRequest
			inst.quarantine.Fill(&request)
			m.inbox.Add(time.Now(), inst.name, request)
			m.commit()
			inst.quarantine.Apply(true, m.table.Update(time.Since(m.began), "epoch", inst.name, request))
		}
	}
}

// commit records what the daemons have reported, and the verdicts that are due.
func (m *crashingMesh) commit() {
	now := time.Since(m.began)
	for range 2 {
		if pending, ok := m.inbox.Pending(time.Now(), m.table, now); ok {
			m.table.Record(now, pending.Crashes)
			m.table.Familiar(pending.Familiar)
			m.table.Complete(pending.Completed)
			m.table.Probe(now, pending.Probes)
		}
	}
	if due, _ := m.table.Due(now); len(due) > 0 {
		m.table.Convict(now, due)
	}
}

// TestRequestCrashesTargetAfterTarget guards against a request that is sent on after it
// has crashed several targets, and against other requests that are taken for it because
// they were lost in the same crashes.
func TestRequestCrashesTargetAfterTarget(t *testing.T) {
	const contents, duration = 60, 20 * time.Second
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				m := newCrashingMesh(t, 5)
				sender := m.addRemote()
				var pending sync.WaitGroup
				pending.Go(func() { m.renew(duration) })
				for i := range int(duration / (5 * time.Millisecond)) {
					path := fmt.Sprintf("/p/%d", random.IntN(contents))
					if i%20 == 0 && i > 200 {
						path = deadlyPath
					}
					pending.Go(func() { m.send(sender, "GET", path, nil, "") })
					time.Sleep(5 * time.Millisecond)
				}
				pending.Wait()
				must.GreaterEq(t, 3, len(m.crashes), must.Sprint("the request crashes targets"))
				must.LessEq(t, maxDeadlyRetries, m.late, must.Sprint("after the third crash"))
				for i := range contents {
					response, text := m.send(sender, "GET", fmt.Sprintf("/p/%d", i), nil, "")
					must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(text))
				}
				response, text := m.send(sender, "GET", deadlyPath, nil, "")
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
				must.True(t, strings.Contains(text, "have crashed"), must.Sprint(text))
				time.Sleep(time.Second)
			})
		})
	}
}

// TestBrokenOffResponseClearsItsRequest guards against a request that crashes its target
// in the middle of a long response and counts as completed.
func TestBrokenOffResponseClearsItsRequest(t *testing.T) {
	for _, whole := range []bool{false, true} {
		m := newMesh(t, version.Idempotent, 0, 1)
		inst, sender := m.instances[0], m.addRemote()
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			const length = 4 * maxBufferedBytes
			w.Header().Set("Content-Length", strconv.Itoa(length))
			_, _ = w.Write(make([]byte, length/2))
			if !whole {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(make([]byte, length/2))
		})
		content := quarantine.NewFingerprint("GET", host, "/p/x", nil, 0)
		for _, list := range []*quarantine.List{inst.quarantine, sender.quarantine} {
			list.Lost(content)
		}
		r, err := http.NewRequest("GET", "http://"+sender.entryAddress+"/p/x", nil)
		must.NoError(t, err)
		r.Host = host
		r.Header.Set(DefaultNames().Key, key)
		resp, err := m.client.Do(r)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		must.Eq(t, whole, err == nil)
		for _, list := range []*quarantine.List{inst.quarantine, sender.quarantine} {
			must.Eq(t, whole, m.cleared(list, content))
		}
	}
}

// cleared reports whether the next renewal of a daemon says that the request completed.
// It waits for that if it does not yet: the caller may have its response first.
func (m *mesh) cleared(list *quarantine.List, content quarantine.Fingerprint) bool {
	for range 50 {
		var request protocol.RenewRequest
		list.Fill(&request)
		if slices.Contains(request.Completed, uint64(content)) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
