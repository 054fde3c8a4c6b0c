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
	// queueLength is the capacity of the message queue and of the call queue of
	// the event loop.
	queueLength = 1024
	// maxBatch limits the messages and calls that the event loop handles before
	// it stores the result.
	maxBatch = 512
	// ticksPerHeartbeat is the number of clock ticks per heartbeat interval.
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

	mu     sync.Mutex // guards engine, afterFlush and stopped
	engine *engine
	// afterFlush are functions to call once the current batch is stored.
	afterFlush []func()
	stopped    bool
	leader     atomic.Pointer[leaderView]
}

// leaderView is the leader as a replica knows it.
type leaderView struct {
	address string
	self    bool
}

var _ Group = (*Node)(nil)

// New opens the storage of a replica. The replica takes part in its group while
// Run runs. Errors: SettingsInvalid, StorageFailed.
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
	e.startSnapshotJob = n.startSnapshotJob
	n.engine = e
	return n, nil
}

// startSnapshotJob writes a snapshot in a goroutine of its own, so that it does
// not block the event loop.
func (n *Node) startSnapshotJob(job *snapshotJob) {
	go func() {
		job.run()
		select {
		case n.calls <- func(e *engine) { e.writtenSnapshot = job }:
		case <-n.stop:
		}
	}()
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run is the event loop of the replica. It returns nil when ctx ends or Close
// is called. An error is fatal and the process must exit. Errors:
// StorageFailed; Damaged if the log has diverged from the leader's log.
func (n *Node) Run(ctx context.Context) error {
	defer n.shutDown()
	ticker := time.NewTicker(n.options.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		pending := batch{}
		select {
		case <-ctx.Done():
			return nil
		case <-n.stop:
			return nil
		case <-ticker.C:
		case m := <-n.messages:
			pending.messages = append(pending.messages, m)
		case call := <-n.calls:
			pending.calls = append(pending.calls, call)
		}
		n.fillBatch(&pending)
		if err := n.process(&pending); err != nil {
			n.options.Logger.Error("replica stopped after a fatal error", zap.String("group", n.options.Group), zap.Error(err))
			return err
		}
	}
}

// batch is the messages and calls that one iteration of the event loop handles.
type batch struct {
	messages []Message
	calls    []func(*engine)
}

// fillBatch adds the messages and calls that are already queued, so that one
// sync covers all of them.
func (n *Node) fillBatch(b *batch) {
	for len(b.messages)+len(b.calls) < maxBatch {
		select {
		case m := <-n.messages:
			b.messages = append(b.messages, m)
		case call := <-n.calls:
			b.calls = append(b.calls, call)
		default:
			return
		}
	}
}

func (n *Node) process(b *batch) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	n.engine.tick(n.now())
	for _, m := range b.messages {
		n.engine.step(m)
	}
	for _, call := range b.calls {
		call(n.engine)
	}
	if err := n.engine.flush(); err != nil {
		return err
	}
	n.publishLeader()
	for _, done := range n.afterFlush {
		done()
	}
	n.afterFlush = nil
	return nil
}

func (n *Node) publishLeader() {
	address := n.engine.core.leaderAddress
	view := leaderView{address: address, self: n.engine.core.role == leader}
	if *n.leader.Load() != view {
		n.leader.Store(&view)
	}
}

// Handle queues a message from another replica. It never blocks: if the queue
// is full, the message is dropped.
func (n *Node) Handle(message Message) {
	select {
	case n.messages <- message:
	default:
	}
}

// Close stops the replica and releases its data directory.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stop) })
	n.shutDown()
	return n.disk.Close()
}

// shutDown fails the waiting calls and closes the store. It is idempotent.
func (n *Node) shutDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	n.stopped = true
	n.stopOnce.Do(func() { close(n.stop) })
	n.leader.Store(&leaderView{})
	if err := n.engine.close(); err != nil {
		n.options.Logger.Warn("failed to close the store of the replica", zap.String("group", n.options.Group), zap.Error(err))
	}
}

func errStopped() error {
	return fault.New(fault.NoLeader, "this replica has stopped")
}
