package rpc

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
)

// TestUnfinishedFramesAreBounded guards against links that declare long frames, send a part of
// them and keep it. The one for which there is no room is closed.
func TestUnfinishedFramesAreBounded(t *testing.T) {
	const frameBytes = 1 << 20
	ln, err := listener.Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	guard := listener.NewGuard(listener.Capacity{Connections: 10, BodyBytes: frameBytes})
	guarded, err := guard.ListenLinks(ln, 1)
	must.NoError(t, err)
	server := NewServer(mesh.NewPlainIdentity("server"), nil, zap.NewNop())
	go func() { _ = server.Run(guarded) }()
	t.Cleanup(func() { _ = server.Close() })
	held := func() bool {
		var text strings.Builder
		guard.Write(&text)
		return strings.Contains(text.String(), "request_body_bytes 786432\n")
	}
	send := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		frame := make([]byte, lengthBytes+frameBytes*3/4)
		binary.BigEndian.PutUint32(frame, frameBytes)
		go func() { _, _ = conn.Write(frame) }()
		return conn
	}
	send()
	for !held() {
		time.Sleep(time.Millisecond)
	}
	second := send()
	must.NoError(t, second.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadAll(second)
	must.ErrorContains(t, err, "reset")
	for !held() {
		time.Sleep(time.Millisecond)
	}
}
