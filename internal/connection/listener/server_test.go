package listener

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const address = "127.0.0.1:7200"

// TestSilentCallerIsFound guards against work that continues for a caller that can no
// longer be reached. A handler must be canceled within a second after the HTTP/2
// connection of its caller has become silent.
func TestSilentCallerIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		ended := make(chan time.Time, 1)
		server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- time.Now()
		}), Options{})
		l := network.Listen(address)
		go func() { _ = server.Serve(l) }()
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, Protocols: protocols}}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
			must.NoError(t, err)
			_, err = client.Do(r) //nolint:bodyclose // it fails
			must.Error(t, err)
		}()
		time.Sleep(100 * time.Millisecond)
		network.Blackhole()
		silentSince := time.Now()
		must.Less(t, time.Second, (<-ended).Sub(silentSince))
		cancel()
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func TestListenNamesTheAddress(t *testing.T) {
	_, err := Listen(t.Context(), "nowhere")
	must.Eq(t, fault.SettingsInvalid, fault.KindOf(err))
	must.StrContains(t, fault.Message(err), "nowhere")
}
