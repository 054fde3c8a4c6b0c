package replica

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

const (
	// queueLength bounds the messages and the calls that wait for the loop.
	queueLength = 1024
	// maxBatch bounds what one pass of the loop takes in before it stores.
	maxBatch = 512
	// ticksPerHeartbeat is how often the clock is looked at.
	ticksPerHeartbeat = 4
)

// Node is one replica of one group. It implements Group.
type Node struct {
	options Options
	disk    storage.Disk
	start   time.Time

	messages chan Message
	calls    chan func(*engine)
	stop     chan struct{}
	stopOnce sync.Once

	mu     sync.Mutex // guards engine and ended
	engine *engine
	// after are calls to complete once the running pass is stored.
	after  []func()
	ended  bool
	leader atomic.Pointer[leaderView]
}

// leaderView is what a replica knows of its leader.
type leaderView struct {
	address string
	self    bool
}

var _ Group = (*Node)(nil)

// New opens the storage of a replica. Run must be called for it to take part.
// Errors: SettingsInvalid, StorageFailed.
func New(o Options) (*Node, error) {
	o.setDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	disk, err := o.OpenDisk(o.Dir)
	if err != nil {
		return nil, err
	}
	n, err := newNode(o, disk)
	if err != nil {
		_ = disk.Close()
		return nil, err
	}
	return n, nil
}

func newNode(o Options, disk storage.Disk) (*Node, error) {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	n := &Node{
		options:  o,
		disk:     disk,
		start:    time.Now(),
		messages: make(chan Message, queueLength),
		calls:    make(chan func(*engine), queueLength),
		stop:     make(chan struct{}),
	}
	n.leader.Store(&leaderView{})
	e, err := openEngine(o, disk, rand.New(rand.NewChaCha8(seed)), n.now())
	if err != nil {
		return nil, err
	}
	e.write = n.write
	n.engine = e
	return n, nil
}

// write writes a snapshot beside the loop.
func (n *Node) write(job *snapshotJob) {
	go func() {
		job.run()
		select {
		case n.calls <- func(e *engine) { e.written = job }:
		case <-n.stop:
		}
	}()
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run takes part in the group until ctx ends. An error is final and the
// process must end: StorageFailed, or Damaged where the log turned out to
// differ from the leader's.
func (n *Node) Run(ctx context.Context) error {
	defer n.end()
	ticker := time.NewTicker(n.options.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		pass := pass{}
		select {
		case <-ctx.Done():
			return nil
		case <-n.stop:
			return nil
		case <-ticker.C:
		case m := <-n.messages:
			pass.messages = append(pass.messages, m)
		case call := <-n.calls:
			pass.calls = append(pass.calls, call)
		}
		n.drain(&pass)
		if err := n.work(&pass); err != nil {
			n.options.Logger.Error("the replica has failed", zap.String("group", n.options.Group), zap.Error(err))
			return err
		}
	}
}

// pass is what one pass of the loop works on.
type pass struct {
	messages []Message
	calls    []func(*engine)
}

// drain takes what waits already, so that one sync serves all of it.
func (n *Node) drain(p *pass) {
	for len(p.messages)+len(p.calls) < maxBatch {
		select {
		case m := <-n.messages:
			p.messages = append(p.messages, m)
		case call := <-n.calls:
			p.calls = append(p.calls, call)
		default:
			return
		}
	}
}

func (n *Node) work(p *pass) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	n.engine.tick(n.now())
	for _, m := range p.messages {
		n.engine.step(m)
	}
	for _, call := range p.calls {
		call(n.engine)
	}
	if err := n.engine.flush(); err != nil {
		return err
	}
	n.publish()
	for _, done := range n.after {
		done()
	}
	n.after = nil
	return nil
}

func (n *Node) publish() {
	address := n.engine.core.leaderAddress
	view := leaderView{address: address, self: n.engine.core.role == leader}
	if *n.leader.Load() != view {
		n.leader.Store(&view)
	}
}

// Handle takes a message from another replica. It never blocks: where too many
// wait, the message is dropped.
func (n *Node) Handle(message Message) {
	select {
	case n.messages <- message:
	default:
	}
}

// Close ends the replica and gives its data folder up.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stop) })
	n.end()
	return n.disk.Close()
}

// end fails the calls that wait and closes the store.
func (n *Node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return
	}
	n.ended = true
	n.stopOnce.Do(func() { close(n.stop) })
	n.leader.Store(&leaderView{})
	if err := n.engine.close(); err != nil {
		n.options.Logger.Warn("close the store", zap.String("group", n.options.Group), zap.Error(err))
	}
}

func errEnded() error {
	return fault.New(fault.NoLeader, "this replica has ended")
}
