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

// counter is a Machine that counts its commands and chains their content.
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

// links carries messages between nodes of one process.
type links struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (l *links) Send(address string, message Message) {
	l.mu.Lock()
	n := l.nodes[address]
	l.mu.Unlock()
	if n != nil {
		n.Handle(message)
	}
}

func (l *links) set(address string, n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[address] = n
}

// runNode starts a node and returns it with a function that ends it.
func runNode(t *testing.T, l *links, dir, address string, m Machine) (*Node, func()) {
	t.Helper()
	n, err := New(Options{Group: "g", Dir: filepath.Join(dir, address), Address: address, Machine: m, Transport: l, SnapshotEvery: 64})
	must.NoError(t, err)
	l.set(address, n)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	return n, func() {
		l.set(address, nil)
		cancel()
		must.NoError(t, <-ended)
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
		l := &links{nodes: make(map[string]*Node)}
		machines := make(map[string]*counter)
		nodes := make(map[string]*Node)
		stops := make(map[string]func())
		for _, address := range []string{"a", "b", "c"} {
			machines[address] = new(counter)
			nodes[address], stops[address] = runNode(t, l, dir, address, machines[address])
		}
		_, err := nodes["b"].Propose(ctx, nil)
		must.Eq(t, fault.NotFounded, fault.KindOf(err))
		must.Eq(t, fault.NotFounded, fault.KindOf(nodes["b"].Confirm(ctx)))
		must.NoError(t, nodes["a"].Found(ctx))
		must.Eq(t, fault.AlreadyFounded, fault.KindOf(nodes["a"].Found(ctx)))
		propose(t, nodes["a"], 300)
		must.NoError(t, nodes["a"].Admit(ctx, "b"))
		must.NoError(t, nodes["a"].Admit(ctx, "c"))
		must.Eq(t, fault.AlreadyFounded, fault.KindOf(nodes["b"].Found(ctx)))
		_, err = nodes["b"].Propose(ctx, nil)
		must.Eq(t, fault.NotLeader, fault.KindOf(err))
		propose(t, nodes["a"], 100)
		must.NoError(t, nodes["c"].Confirm(ctx))
		must.Eq(t, *machines["a"], *machines["c"])

		// The folder of c is lost: it comes back as a new replica, takes the
		// place of the old one, and then the leader is lost as well.
		lost := nodes["c"].Status().ID
		stops["c"]()
		machines["c2"] = new(counter)
		nodes["c"], stops["c"] = runNode(t, l, filepath.Join(dir, "second"), "c", machines["c2"])
		must.NoError(t, nodes["a"].Admit(ctx, "c"))
		for _, m := range nodes["a"].Status().Members {
			must.NotEq(t, lost, m.ID)
		}
		before := *machines["a"]
		stops["a"]()
		at := time.Now()
		for _, self := nodes["b"].Leader(); !self && ctx.Err() == nil; _, self = nodes["b"].Leader() {
			if _, self := nodes["c"].Leader(); self {
				break
			}
			time.Sleep(DefaultHeartbeat)
		}
		must.NoError(t, nodes["c"].Confirm(ctx))
		t.Logf("a new leader confirmed %s after the old one ended", time.Since(at))
		must.Eq(t, before, *machines["c2"])

		machines["a2"] = new(counter)
		nodes["a"], stops["a"] = runNode(t, l, dir, "a", machines["a2"])
		must.NoError(t, nodes["a"].Confirm(ctx))
		must.Eq(t, before, *machines["a2"])
		for _, stop := range stops {
			stop()
		}
	})
}

func TestRunEndsWhenTheDiskFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := storagetest.New(rand.New(rand.NewPCG(1, 1)))
		o := Options{Group: "g", Dir: "-", Address: "a", Machine: new(counter), Transport: &links{}}
		o.setDefaults()
		n, err := newNode(o, disk)
		must.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- n.Run(t.Context()) }()
		must.NoError(t, n.Found(t.Context()))
		propose(t, n, 10)
		disk.FailAfter(1) // the write succeeds, the sync fails
		_, err = n.Propose(t.Context(), []byte("lost"))
		must.Eq(t, fault.NoLeader, fault.KindOf(err))
		must.Eq(t, fault.StorageFailed, fault.KindOf(<-ended))
		must.Eq(t, fault.NoLeader, fault.KindOf(n.Confirm(t.Context())))
		must.NoError(t, n.Close())
	})
}

func TestCallsEndWithTheirContext(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		l := &links{nodes: make(map[string]*Node)}
		n, stop := runNode(t, l, dir, "a", new(counter))
		defer stop()
		must.NoError(t, n.Found(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Eq(t, fault.NoLeader, fault.KindOf(n.Admit(ctx, "nobody")))
		must.NoError(t, n.Remove(t.Context(), "nobody"), must.Sprint("the place of the change is free again"))
		must.Eq(t, fault.MembershipBusy, fault.KindOf(n.Remove(t.Context(), n.Status().ID)))
		_, self := n.Leader()
		must.True(t, self)
	})
}

// slowImage is a Machine that takes long to encode.
type slowImage struct {
	counter
	release chan struct{}
}

// Image implements Imager.
func (s *slowImage) Image() func() ([]byte, error) {
	state := s.counter
	return func() ([]byte, error) {
		<-s.release
		return state.Snapshot()
	}
}

// TestEncodingASnapshotBlocksNobody checks that commands are taken while a
// snapshot is being encoded, and that the snapshot is of its own moment.
func TestEncodingASnapshotBlocksNobody(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := &links{nodes: make(map[string]*Node)}
		m := &slowImage{release: make(chan struct{})}
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
