package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

// counter is a Machine that counts its commands and hashes their content.
type counter struct {
	Count, Sum uint64
}

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.Count++
	for _, b := range command {
		c.Sum = c.Sum*31 + uint64(b)
	}
	return binary.BigEndian.AppendUint64(nil, c.Count)
}

func (c *counter) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(nil, c.Count)
	return binary.BigEndian.AppendUint64(b, c.Sum), nil
}

func (c *counter) Restore(b []byte) error {
	c.Count = binary.BigEndian.Uint64(b)
	c.Sum = binary.BigEndian.Uint64(b[8:])
	return nil
}

// localTransport is a Transport between nodes of one process.
type localTransport struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (t *localTransport) Send(address string, message Message) {
	t.mu.Lock()
	n := t.nodes[address]
	t.mu.Unlock()
	if n != nil {
		n.Handle(message)
	}
}

func (t *localTransport) set(address string, n *Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[address] = n
}

// runNode starts a node and returns it with a function that stops it.
func runNode(t *testing.T, l *localTransport, dir, address string, m Machine) (*Node, func()) {
	t.Helper()
	n, err := New(Options{Group: "g", Dir: filepath.Join(dir, address), Address: address, Machine: m, Transport: l, SnapshotEvery: 64})
	must.NoError(t, err)
	l.set(address, n)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	return n, func() {
		l.set(address, nil)
		cancel()
		must.NoError(t, <-runErr)
		must.NoError(t, n.Close())
	}
}

func propose(t *testing.T, n *Node, count int) {
	t.Helper()
	for i := range count {
		_, err := n.Propose(t.Context(), fmt.Appendf(nil, "command %d", i))
		must.NoError(t, err)
	}
}

func TestNodeFoundsAdmitsAndReplaces(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := &localTransport{nodes: make(map[string]*Node)}
		machines := make(map[string]*counter)
		nodes := make(map[string]*Node)
		stops := make(map[string]func())
		for _, address := range []string{"a", "b", "c"} {
			machines[address] = new(counter)
			nodes[address], stops[address] = runNode(t, l, dir, address, machines[address])
		}
		_, err := nodes["b"].Propose(ctx, nil)
		must.Eq(t, fault.NotFounded, fault.KindOf(err))
		must.Eq(t, fault.NotFounded, fault.KindOf(nodes["b"].ReadBarrier(ctx)))
		must.NoError(t, nodes["a"].Found(ctx))
		must.Eq(t, fault.AlreadyFounded, fault.KindOf(nodes["a"].Found(ctx)))
		propose(t, nodes["a"], 300)
		must.NoError(t, nodes["a"].Admit(ctx, "b", 0))
		must.NoError(t, nodes["a"].Admit(ctx, "c", 0))
		must.Eq(t, fault.AlreadyFounded, fault.KindOf(nodes["b"].Found(ctx)))
		_, err = nodes["b"].Propose(ctx, nil)
		must.Eq(t, fault.NotLeader, fault.KindOf(err))
		propose(t, nodes["a"], 100)
		must.NoError(t, nodes["c"].ReadBarrier(ctx))
		must.Eq(t, *machines["a"], *machines["c"])

		// c loses its data directory. It returns under a new ID and replaces
		// its old member. Then the leader is stopped as well.
		lostID := nodes["c"].Status().ID
		stops["c"]()
		machines["c2"] = new(counter)
		nodes["c"], stops["c"] = runNode(t, l, filepath.Join(dir, "second"), "c", machines["c2"])
		must.NoError(t, nodes["a"].Admit(ctx, "c", 0))
		for _, m := range nodes["a"].Status().Members {
			must.NotEq(t, lostID, m.ID)
		}
		before := *machines["a"]
		stops["a"]()
		stoppedAt := time.Now()
		for _, self := nodes["b"].Leader(); !self && ctx.Err() == nil; _, self = nodes["b"].Leader() {
			if _, self := nodes["c"].Leader(); self {
				break
			}
			time.Sleep(DefaultHeartbeatInterval)
		}
		must.NoError(t, nodes["c"].ReadBarrier(ctx))
		t.Logf("a read barrier succeeded %s after the old leader was stopped", time.Since(stoppedAt))
		must.Eq(t, before, *machines["c2"])

		machines["a2"] = new(counter)
		nodes["a"], stops["a"] = runNode(t, l, dir, "a", machines["a2"])
		must.NoError(t, nodes["a"].ReadBarrier(ctx))
		must.Eq(t, before, *machines["a2"])
		for _, stop := range stops {
			stop()
		}
	})
}

func TestRunEndsWhenTheDiskFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := storagetest.New(rand.New(rand.NewPCG(1, 1)))
		o := Options{Group: "g", Dir: "-", Address: "a", Machine: new(counter), Transport: &localTransport{}}
		o.setDefaults()
		n, err := newNode(o, disk)
		must.NoError(t, err)
		runErr := make(chan error, 1)
		go func() { runErr <- n.Run(t.Context()) }()
		must.NoError(t, n.Found(t.Context()))
		propose(t, n, 10)
		disk.FailAfter(1) // the write succeeds, the sync fails
		_, err = n.Propose(t.Context(), []byte("lost"))
		must.Eq(t, fault.NoLeader, fault.KindOf(err))
		must.Eq(t, fault.StorageFailed, fault.KindOf(<-runErr))
		must.Eq(t, fault.NoLeader, fault.KindOf(n.ReadBarrier(t.Context())))
		must.NoError(t, n.Close())
	})
}

func TestCallsEndWithTheirContext(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		l := &localTransport{nodes: make(map[string]*Node)}
		n, stop := runNode(t, l, dir, "a", new(counter))
		defer stop()
		must.NoError(t, n.Found(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Eq(t, fault.NoLeader, fault.KindOf(n.Admit(ctx, "nobody", 0)))
		must.NoError(t, n.Remove(t.Context(), "nobody", 0), must.Sprint("the canceled change still blocks another one"))
		must.Eq(t, fault.MembershipBusy, fault.KindOf(n.Remove(t.Context(), n.Status().ID, 0)))
		_, self := n.Leader()
		must.True(t, self)
	})
}

// slowSnapshotter is a Machine whose snapshot is encoded only after release is
// closed.
type slowSnapshotter struct {
	counter
	release chan struct{}
}

// CaptureSnapshot implements AsyncSnapshotter.
func (s *slowSnapshotter) CaptureSnapshot() func() ([]byte, error) {
	state := s.counter
	return func() ([]byte, error) {
		<-s.release
		return state.Snapshot()
	}
}

// TestEncodingASnapshotBlocksNoCommands checks that commands are accepted while a
// snapshot is being encoded, and that the snapshot holds the state at the time
// of its capture.
func TestEncodingASnapshotBlocksNoCommands(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := &localTransport{nodes: make(map[string]*Node)}
		m := &slowSnapshotter{release: make(chan struct{})}
		n, stop := runNode(t, l, dir, "a", m)
		must.NoError(t, n.Found(ctx))
		propose(t, n, 200)
		close(m.release)
		propose(t, n, 200)
		stop()
		again := new(counter)
		_, stop = runNode(t, l, dir, "a", again)
		time.Sleep(time.Second)
		stop()
		must.Eq(t, m.counter, *again)
	})
}
