package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUploadOutlivesItsCaller guards against a body whose end is lost because its caller has the
// whole response and leaves while the last of the body is on its way. The deadline still
// ends an upload that does not go on.
func TestUploadOutlivesItsCaller(t *testing.T) {
	const begin, rest = "begin, ", "and the rest"
	for name, arrives := range map[string]bool{"the rest arrives": true, "it does not": false} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			received := make(chan string, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				first := make([]byte, len(begin))
				_, _ = io.ReadFull(r.Body, first)
				writeResponse(conn, "1", "early")
				more, _ := io.ReadAll(r.Body)
				received <- string(first) + string(more)
			}()
			deadline, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			ctx, leave := context.WithCancel(deadline)
			defer leave()
			body, upload := io.Pipe()
			resp, err := NewClient(Options{}).Do(ctx, ln.Addr().String(), &Request{
				Method: "POST", URI: "/", Host: "h", ID: "1", Body: []byte(begin), Rest: body, Length: int64(len(begin + rest)),
			})
			must.NoError(t, err)
			response, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "early", string(response))
			leave()
			time.Sleep(20 * time.Millisecond) // the end of the context has its effect
			want := begin
			if arrives {
				want += rest
				go func() { _, _ = io.WriteString(upload, rest) }()
			}
			resp.Body.(interface{ AwaitUpload() }).AwaitUpload()
			must.NoError(t, resp.Body.Close())
			must.Eq(t, want, <-received)
			_ = upload.CloseWithError(io.ErrUnexpectedEOF)
		})
	}
}
