package daemon

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// ask sends quota asks by the renewal loop, which is built after the holder of
// the tokens.
func (d *Daemon) ask(ctx context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
	return d.renewal.Ask(ctx, asks)
}
