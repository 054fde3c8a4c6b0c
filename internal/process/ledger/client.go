package ledger

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Caller sends one command to the replica group of a shard, once. An error
// whose kind has the outcome NotRun promises that the command was not taken.
type Caller interface {
	Once(ctx context.Context, shard int, request protocol.OnceRequest) (protocol.OnceReply, error)
}

const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Client reaches the ledger from a daemon. It implements hop.Ledger. Its
// methods may be called from any goroutine.
type Client struct {
	caller Caller
	shards int
}

// NewClient returns a client of a ledger with this number of shards.
func NewClient(caller Caller, shards int) *Client {
	return &Client{caller: caller, shards: max(shards, 1)}
}

// Do sends one command until it is answered or ctx ends. Every command may be
// sent again: its effect depends on the attempt, not on how often it arrives.
// Errors: LedgerUnavailable where the command was certainly not taken,
// LedgerUnknown where it may have been.
func (c *Client) Do(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error) {
	shard := ShardOf(request.Key, c.shards)
	backoff := firstBackoff
	var last error
	taken := false
	for ctx.Err() == nil {
		reply, err := c.caller.Once(ctx, shard, request)
		if err == nil {
			return reply, nil
		}
		last = err
		answer := fault.AnswerFor(fault.KindOf(err))
		taken = taken || answer.Outcome != fault.NotRun
		if answer.Outcome == fault.NotRun && !answer.Retry {
			break
		}
		pause(ctx, backoff)
		backoff = min(backoff*2, maxBackoff)
	}
	return protocol.OnceReply{}, failure(request, taken, last)
}

func failure(request protocol.OnceRequest, taken bool, last error) error {
	if last == nil {
		return fault.New(fault.LedgerUnavailable, "the time for the ledger's %s was over before it was sent", request.Operation)
	}
	if taken {
		return fault.Wrap(fault.LedgerUnknown, last, "the ledger's answer to %s was lost", request.Operation)
	}
	return fault.Wrap(fault.LedgerUnavailable, last, "the ledger did not take %s", request.Operation)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
