package drain

import (
	"context"
	"sync/atomic"
	"time"
)

// Stage says where a request is.
type Stage uint32

// Stages of a request, in the order in which it passes them. A request that is sent to
// several targets passes some of them again.
const (
	ReadingBody Stage = iota
	Held
	WaitingForToken
	WaitingForSlot
	ConnectingToPeer
	WithPeer
	ConnectingToTarget
	WithTarget
	BeingAnswered
)

func (s Stage) String() string {
	return [...]string{"reading its body", "held until targets are warm", "waiting for a token", "waiting for a slot",
		"connecting to the target's daemon", "with the target's daemon", "connecting to the target", "with the target", "being answered"}[s]
}

// Progress tells the log of a shutdown which request a connection carries, and where that
// request is. Its methods are safe for concurrent use, and do nothing on nil.
type Progress struct {
	// ID, Route and Began do not change after Follow.
	ID, Route string
	Began     time.Time
	stage     atomic.Uint32
}

// Reach records that the request has reached a stage.
func (p *Progress) Reach(s Stage) {
	if p != nil {
		p.stage.Store(uint32(s))
	}
}

// Sending records that a connection to the daemon or the target is open and the request is
// being sent on it.
func (p *Progress) Sending() {
	if p == nil {
		return
	}
	if !p.stage.CompareAndSwap(uint32(ConnectingToPeer), uint32(WithPeer)) {
		p.stage.CompareAndSwap(uint32(ConnectingToTarget), uint32(WithTarget))
	}
}

// openConn is an open connection of a tracked server.
type openConn struct {
	server string
	// active is true while the connection carries a request; the lock of the Drain guards it.
	active bool
	// request is what is known of the request; nil if the handler tells nothing.
	request atomic.Pointer[Progress]
}

type openConnKey struct{}

// Following is a request that the log of a shutdown can tell of. The zero value is none.
type Following struct {
	conn *openConn
}

// Follow makes p tell of the request with this context until Stop is called. Of the
// requests of an HTTP/2 connection, the last one is told of.
func Follow(ctx context.Context, p *Progress) Following {
	conn, ok := ctx.Value(openConnKey{}).(*openConn)
	if !ok {
		return Following{}
	}
	conn.request.Store(p)
	return Following{conn}
}

// Stop ends what Follow began.
func (f Following) Stop() {
	if f.conn != nil {
		f.conn.request.Store(nil)
	}
}
