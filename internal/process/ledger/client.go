package ledger

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Caller sends one command to the replica group of a shard, without retries. If
// fault.ResponseFor returns the outcome NotRun for the kind of an error, the group
// did not accept the command.
type Caller interface {
	SendOnce(ctx context.Context, shard int, request protocol.OnceRequest) (protocol.OnceReply, error)
}

// The backoff between retries of Client.Do starts at firstBackoff and doubles up to
// maxBackoff.
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

// Do sends one command. It retries until a reply arrives, ctx ends, or an error shows
// that the command was not accepted and a retry cannot succeed. Commands are
// idempotent: their effect depends on the attempt that they name, not on how often
// they arrive. Errors: LedgerUnavailable if the command was certainly not accepted,
// LedgerUnknown if it may have been.
func (c *Client) Do(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error) {
	shard := ShardOf(request.Key, c.shards)
	backoff := firstBackoff
	var lastErr error
	maybeAccepted := false
	for ctx.Err() == nil {
		reply, err := c.caller.SendOnce(ctx, shard, request)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		response := fault.ResponseFor(fault.KindOf(err))
		maybeAccepted = maybeAccepted || response.Outcome != fault.NotRun
		if response.Outcome == fault.NotRun && !response.Retry {
			break
		}
		sleep(ctx, backoff)
		backoff = min(backoff*2, maxBackoff)
	}
	return protocol.OnceReply{}, failure(request, maybeAccepted, lastErr)
}

// failure returns the error of Do. lastErr is nil if the command was never sent.
func failure(request protocol.OnceRequest, maybeAccepted bool, lastErr error) error {
	if lastErr == nil {
		return fault.New(fault.LedgerUnavailable, "the request was canceled or its deadline passed before the ledger command %s was sent", request.Operation)
	}
	if maybeAccepted {
		return fault.Wrap(fault.LedgerUnknown, lastErr, "the ledger did not confirm the command %s; it may have been applied", request.Operation)
	}
	return fault.Wrap(fault.LedgerUnavailable, lastErr, "the ledger did not accept the command %s", request.Operation)
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
