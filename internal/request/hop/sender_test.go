package hop

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRetriedRequestIsNeverReportedAsNotRun checks the outcome of a request whose
// first attempt may have run and whose retry fails with any error. Callers once got
// the outcome not-run if the retry could not connect to the target's daemon (seeds
// 21, 30 and 45 of TestSoak).
func TestRetriedRequestIsNeverReportedAsNotRun(t *testing.T) {
	lost := fault.New(fault.ConnectionLost, "the connection was lost")
	for _, kind := range fault.Kinds() {
		retry := fault.New(kind, "the retry")
		var afterConnectionLost, afterConnectFailed failedAttempts
		afterConnectionLost.add("a", nil, lost)
		afterConnectionLost.add("b", nil, retry)
		_, err := afterConnectionLost.result(retry)
		must.NotEq(t, fault.NotRun, fault.OutcomeOf(err), must.Sprint(kind))

		afterConnectFailed.add("a", nil, fault.New(fault.ConnectFailed, "not connected"))
		afterConnectFailed.add("b", nil, retry)
		_, err = afterConnectFailed.result(retry)
		must.Eq(t, fault.OutcomeOf(retry), fault.OutcomeOf(err), must.Sprint(kind))
	}
	var withoutRetry failedAttempts
	withoutRetry.add("a", nil, lost)
	_, err := withoutRetry.result(fault.New(fault.DeadlineNotRun, "no time is left for another attempt"))
	must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
}

// TestInterruptedRequestIsNotRepeated guards against giving up an idempotent request that the
// target's daemon broke off because it stops. Any other request may have run.
func TestInterruptedRequestIsNotRepeated(t *testing.T) {
	interrupted := fault.New(fault.Interrupted, "the daemon stopped")
	must.True(t, isRetryable(t.Context(), version.Idempotent, interrupted))
	must.False(t, isRetryable(t.Context(), version.Once, interrupted))
}
