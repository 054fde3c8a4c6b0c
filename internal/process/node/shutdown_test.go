package node

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestOrderInProgressIsAnswered guards against a replica that closes the connection of an
// order which it is carrying out when it shuts down.
func TestOrderInProgressIsAnswered(t *testing.T) {
	control, orders := freeAddress(t), freeAddress(t)
	begun, carriedOut := make(chan struct{}), make(chan struct{})
	core, logs := observer.New(zapcore.InfoLevel)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-carriedOut
		w.WriteHeader(http.StatusOK)
	})
	_, stop := startWithLog(t, zap.New(core), Options{
		Instance: "core-1", Seeds: []string{control},
		Control:  &Control{Listen: control, DataDir: t.TempDir(), Founder: true},
		Handlers: map[string]func(*Node) http.Handler{orders: func(*Node) http.Handler { return handler }},
	})
	eventually(t, func() bool {
		conn, err := net.Dial("tcp", orders)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	status := make(chan int, 1)
	go func() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+orders+"/", http.NoBody)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	eventually(t, func() bool { return logs.FilterMessage("graceful shutdown started").Len() > 0 })
	close(carriedOut)
	must.Eq(t, http.StatusOK, <-status)
	must.NoError(t, <-stopped)
}
