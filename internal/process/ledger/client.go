package ledger

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Caller sends one command to the replica group of a shard, without retries. If
// the outcome of an error's kind is NotRun, the group did not accept the command.
type Caller interface {
	SendOnce(ctx context.Context, shard int, request protocol.OnceRequest) (protocol.OnceReply, error)
}

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Client sends commands to the ledger from a daemon. It implements hop.Ledger. Its
// methods may be called from any goroutine.
type Client struct {
	caller Caller
	shards int
}

// NewClient returns a client of a ledger with this number of shards, at least 1.
func NewClient(caller Caller, shards int) *Client {
	return &Client{caller: caller, shards: max(shards, 1)}
}

// Do sends one command, and retries it until it is answered, rejected without a
// retry, or ctx ends. Commands are idempotent: their effect depends on the attempt
// that they name, not on how often they arrive. Errors: LedgerUnavailable if the
// command was certainly not accepted, LedgerUnknown if it may have been.
func (c *Client) Do(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error) {
	shard := ShardOf(request.Key, c.shards)
	backoff := firstBackoff
	var last error
	maybeAccepted := false
	for ctx.Err() == nil {
		reply, err := c.caller.SendOnce(ctx, shard, request)
		if err == nil {
			return reply, nil
		}
		last = err
		answer := fault.ResponseFor(fault.KindOf(err))
		maybeAccepted = maybeAccepted || answer.Outcome != fault.NotRun
		if answer.Outcome == fault.NotRun && !answer.Retry {
			break
		}
		sleep(ctx, backoff)
		backoff = min(backoff*2, maxBackoff)
	}
	return protocol.OnceReply{}, failure(request, maybeAccepted, last)
}

func failure(request protocol.OnceRequest, maybeAccepted bool, last error) error {
	if last == nil {
		return fault.New(fault.LedgerUnavailable, "the deadline passed before the ledger command %s was sent", request.Operation)
	}
	if maybeAccepted {
		return fault.Wrap(fault.LedgerUnknown, last, "the ledger's reply to %s was lost; the command may have been applied", request.Operation)
	}
	return fault.Wrap(fault.LedgerUnavailable, last, "the ledger did not accept %s", request.Operation)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
