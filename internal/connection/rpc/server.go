package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// maxCallsPerLink is the maximum number of concurrent calls on one link.
	maxCallsPerLink = 1024
	// minAcceptDelay is the delay after a link could not be accepted for lack of
	// resources. It doubles with each further failure, up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Handler handles the calls of one method. peer is the verified identity of the caller.
type Handler func(ctx context.Context, peer mesh.Peer, params json.RawMessage) (any, error)

// Method returns a Handler that decodes the parameters and calls serve. It returns
// Forbidden unless the peer has one of the roles.
func Method[P, R any](serve func(context.Context, mesh.Peer, P) (R, error), roles ...mesh.Role) Handler {
	return func(ctx context.Context, peer mesh.Peer, params json.RawMessage) (any, error) {
		if err := peer.RequireRole(roles...); err != nil {
			return nil, err
		}
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "invalid call parameters")
		}
		return serve(ctx, peer, p)
	}
}

// Server accepts links and handles the calls on them.
type Server struct {
	id       *mesh.Identity
	handlers map[string]Handler
	log      *zap.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server for the methods in handlers, which must not be modified
// afterwards.
func NewServer(id *mesh.Identity, handlers map[string]Handler, log *zap.Logger) *Server {
	return &Server{id: id, handlers: handlers, log: log, conns: make(map[net.Conn]struct{})}
}

// Run accepts links from ln until Close is called, which closes ln.
func (s *Server) Run(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	delay := minAcceptDelay
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTemporary(err) {
			s.log.Warn("cannot accept a link for now", zap.Duration("retry_after", delay), zap.Error(err))
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		if err != nil {
			return fault.Wrap(fault.Internal, err, "accept link")
		}
		delay = minAcceptDelay
		if !s.track(conn) {
			_ = conn.Close()
			return nil
		}
		go s.serve(conn)
	}
}

// isTemporary reports whether the next call may succeed, as after EMFILE.
func isTemporary(err error) bool {
	var e interface{ Temporary() bool }
	return errors.As(err, &e) && e.Temporary()
}

// Close closes the listener and all links, and waits for the goroutines of the links.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	defer func() { _ = conn.Close() }()
	peer, link, err := s.handshake(conn)
	if err != nil {
		s.log.Info("link rejected", zap.String("from", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	codec := &frameCodec{conn: conn, reservation: listener.ReservationForLink(conn)}
	defer codec.reservation.Release()
	stream := jsonrpc2.NewBufferedStream(deadlineConn{link}, codec)
	rpc := jsonrpc2.NewConn(ctx, stream, &linkHandler{server: s, peer: peer, codec: codec, inFlight: make(chan struct{}, maxCallsPerLink)}, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

func (s *Server) handshake(conn net.Conn) (mesh.Peer, net.Conn, error) {
	if s.id.Plain() {
		return mesh.Peer{Role: mesh.Replica}, conn, nil
	}
	link := tls.Server(conn, s.id.ServerTLS())
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	if err := link.HandshakeContext(ctx); err != nil {
		return mesh.Peer{}, nil, fault.Wrap(fault.Forbidden, err, "TLS handshake failed")
	}
	state := link.ConnectionState()
	peer, err := mesh.PeerOf(&state)
	return peer, link, err
}

// linkHandler handles the calls of one link, each in its own goroutine. inFlight limits
// their number.
type linkHandler struct {
	server   *Server
	peer     mesh.Peer
	codec    *frameCodec
	inFlight chan struct{}
}

// Handle implements jsonrpc2.Handler. It stops reading from the link while
// maxCallsPerLink calls are in flight.
func (h *linkHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == methodProbe:
		_ = conn.Reply(ctx, req.ID, struct{}{})
		return
	case req.Method == methodCompress && h.server.id.Plain():
		h.codec.compress.Store(true)
		_ = conn.Reply(ctx, req.ID, struct{}{})
		return
	}
	h.inFlight <- struct{}{}
	go func() {
		defer func() { <-h.inFlight }()
		h.reply(ctx, conn, req)
	}()
}

func (h *linkHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := h.call(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (h *linkHandler) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	handler, ok := h.server.handlers[req.Method]
	if !ok {
		return nil, fault.New(fault.BadRequest, "unknown method %q", req.Method)
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return handler(ctx, h.peer, params)
}
