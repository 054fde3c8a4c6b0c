package control

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

const (
	// outboxSize is the maximum number of messages queued for one address.
	outboxSize = 1024
	// batchSize is the maximum number of messages in one call.
	batchSize = 64
	// sendTimeout bounds one call. Messages of a failed call are not sent again:
	// later messages make up for them.
	sendTimeout = 1 * time.Second
)

// Transport sends messages of the replica groups to other replicas. Send never
// blocks; messages are dropped when a queue is full or a call fails.
type Transport struct {
	caller Caller
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	outboxes map[string]chan []byte
}

// NewTransport returns a transport that sends messages with caller.
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

// outbox returns the queue of address. It creates the queue and starts its sender
// on first use.
func (t *Transport) outbox(address string) chan []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	outbox, ok := t.outboxes[address]
	if ok {
		return outbox
	}
	outbox = make(chan []byte, outboxSize)
	t.outboxes[address] = outbox
	t.wg.Go(func() { t.sendLoop(address, outbox) })
	return outbox
}

// sendLoop sends the messages of one outbox in batches until Close is called.
func (t *Transport) sendLoop(address string, outbox <-chan []byte) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-outbox:
			if t.sendBatch(address, collectBatch(first, outbox)) != nil {
				// What waited for an address that cannot be reached is out of date.
				discard(outbox)
			}
		}
	}
}

// collectBatch returns first and the messages that wait in outbox, at most
// batchSize in all.
func collectBatch(first []byte, outbox <-chan []byte) [][]byte {
	batch := [][]byte{first}
	for len(batch) < batchSize {
		select {
		case next := <-outbox:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (t *Transport) sendBatch(address string, batch [][]byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	return t.caller.Call(ctx, address, protocol.MethodReplica, protocol.ReplicaMessages{Messages: batch}, &protocol.Empty{})
}

// discard drops the messages that wait in outbox.
func discard(outbox <-chan []byte) {
	for {
		select {
		case <-outbox:
		default:
			return
		}
	}
}

// Close stops the senders and drops the messages that are still queued.
func (t *Transport) Close() error {
	t.cancel()
	t.wg.Wait()
	return nil
}
