package control

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

const (
	// outboxSize bounds the messages that wait for one address.
	outboxSize = 1024
	// batchSize bounds the messages of one call.
	batchSize = 64
	// sendTimeout bounds one call; later messages make up for lost ones.
	sendTimeout = 1 * time.Second
)

// Transport sends messages of the replica groups to other replicas. Send never
// blocks; messages are lost where an address does not answer.
type Transport struct {
	caller Caller
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	outboxes map[string]chan []byte
}

// NewTransport returns a transport over caller.
func NewTransport(caller Caller) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{caller: caller, ctx: ctx, cancel: cancel, outboxes: make(map[string]chan []byte)}
}

// Send implements replica.Transport.
func (t *Transport) Send(address string, message replica.Message) {
	encoded, err := message.Encode()
	if err != nil {
		return
	}
	select {
	case t.outbox(address) <- encoded:
	default:
	}
}

func (t *Transport) outbox(address string) chan []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	box, ok := t.outboxes[address]
	if ok {
		return box
	}
	box = make(chan []byte, outboxSize)
	t.outboxes[address] = box
	t.wg.Go(func() { t.drain(address, box) })
	return box
}

// drain sends the messages of one outbox in batches until Close.
func (t *Transport) drain(address string, box <-chan []byte) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-box:
			t.post(address, collect(first, box))
		}
	}
}

func collect(first []byte, box <-chan []byte) [][]byte {
	batch := [][]byte{first}
	for len(batch) < batchSize {
		select {
		case next := <-box:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (t *Transport) post(address string, batch [][]byte) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	_ = t.caller.Call(ctx, address, protocol.MethodReplica, protocol.ReplicaMessages{Messages: batch}, &protocol.Empty{})
}

// Close ends the sending goroutines.
func (t *Transport) Close() error {
	t.cancel()
	t.wg.Wait()
	return nil
}
