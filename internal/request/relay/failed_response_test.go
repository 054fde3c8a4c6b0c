package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/retrybudget"
	"github.com/teaselrack/teaselrack/internal/version"
)

// failOnce makes the first target that gets a request fail it, with a body of its own.
func failOnce(m *mesh) {
	failed := make(chan struct{}, 1)
	failed <- struct{}{}
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			select {
			case <-failed:
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = w.Write([]byte("failed"))
			default:
				_, _ = w.Write([]byte("ok"))
			}
		})
	}
}

// TestFailedRequestIsRepeated replays a target that fails a request now and then: one that
// may run again is sent to another target, any other one is not.
func TestFailedRequestIsRepeated(t *testing.T) {
	for _, c := range []struct {
		mode    version.Mode
		retries int
		want    string
	}{{version.Idempotent, 1, "ok"}, {version.Once, 1, "failed"}, {version.Idempotent, 0, "failed"}} {
		m := newMesh(t, c.mode, c.retries, 2)
		outside := m.addRemote()
		failOnce(m)
		resp, text := m.send(outside, "POST", "/p/x", nil, "body")
		must.Eq(t, c.want, text)
		runs := m.instances[0].stub.count() + m.instances[1].stub.count()
		if c.want == "ok" {
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, 2, runs)
			continue
		}
		must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
		must.Eq(t, "s", resp.Header.Get("Stamp"))
		must.Eq(t, 1, runs)
	}
}

// TestFailedResponseIsPassedOn checks that the response of the target is what the caller
// gets if the repeat fails too, or is cut off.
func TestFailedResponseIsPassedOn(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	outside := m.addRemote()
	first := make(chan struct{}, 1)
	first <- struct{}{}
	for _, inst := range m.instances[:2] {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			select {
			case <-first:
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = w.Write([]byte("failed"))
			default:
				hijackAndClose(w)
			}
		})
	}
	resp, text := m.send(outside, "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
	must.Eq(t, "failed", text)
	must.Eq(t, 2, m.instances[0].stub.count()+m.instances[1].stub.count())
}

// TestRequestThatAllTargetsFailIsNotRepeated replays a service all of whose targets fail
// their requests: repeats would fail too, and take the budget of the calls below.
func TestRequestThatAllTargetsFailIsNotRepeated(t *testing.T) {
	const requests = 100
	m := newMesh(t, version.Idempotent, 1, 2)
	outside := m.addRemote()
	outside.entry.RetryBudget = retrybudget.New(retrybudget.Options{Ratio: 0.2, Window: 10 * time.Second, Processes: func() int { return 1 }})
	for _, inst := range m.instances[:2] {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	}
	for range requests {
		_, _ = m.send(outside, "GET", "/p/x", nil, "")
	}
	must.Less(t, requests+5, m.instances[0].stub.count()+m.instances[1].stub.count())
}

// TestLateFailureIsNotRepeated checks that a repeat begins only if there is as much time
// left as the target took to fail.
func TestLateFailureIsNotRepeated(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	outside := m.addRemote()
	for _, inst := range m.instances[:2] {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	resp, _ := m.send(outside, "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
	must.Eq(t, 1, m.instances[0].stub.count()+m.instances[1].stub.count(), must.Sprint("the time limit is 400 ms"))
}
