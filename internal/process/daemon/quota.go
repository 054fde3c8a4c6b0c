package daemon

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// requestTokens sends token requests through the renewal loop, which is created
// after the quota holder.
func (d *Daemon) requestTokens(ctx context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
	return d.renewal.RequestTokens(ctx, requests)
}
