package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// scriptedCaller is a Caller that returns the scripted replies of each address in
// turn, and then repeats the last one.
type scriptedCaller struct {
	replies map[string][]scriptedReply
	calls   []string
}

type scriptedReply struct {
	kind  fault.Kind
	reply any
}

func (s *scriptedCaller) Call(_ context.Context, address, method string, _, reply any) error {
	s.calls = append(s.calls, address+" "+method)
	remaining := s.replies[address]
	if len(remaining) > 1 {
		s.replies[address] = remaining[1:]
	}
	if remaining[0].kind != "" {
		return fault.New(remaining[0].kind, "from %s", address)
	}
	b, err := json.Marshal(remaining[0].reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, reply)
}

func failures(kinds ...fault.Kind) []scriptedReply {
	replies := make([]scriptedReply, len(kinds))
	for i, kind := range kinds {
		replies[i] = scriptedReply{kind: kind}
	}
	return replies
}

func TestApplyResendsAndStopsAtRejections(t *testing.T) {
	accepted := []scriptedReply{{reply: protocol.ApplyReply{Number: 4, Digest: "d", Repeated: true}}}
	cases := []struct {
		name    string
		replies map[string][]scriptedReply
		want    fault.Kind
		calls   int
	}{
		{"a call is sent again after a lost reply", map[string][]scriptedReply{"a": failures(fault.ConnectionLost), "b": accepted}, "", 2},
		{"no leader yet", map[string][]scriptedReply{"a": failures(fault.NotLeader), "b": append(failures(fault.NoLeader, fault.NoLeader), accepted...)}, "", 6},
		{"a rejection is final", map[string][]scriptedReply{"a": failures(fault.NoteConflict), "b": accepted}, fault.NoteConflict, 1},
		{"a forbidden call is rejected", map[string][]scriptedReply{"a": failures(fault.Forbidden), "b": accepted}, fault.Forbidden, 1},
		{"nothing founded", map[string][]scriptedReply{"a": failures(fault.NotFounded), "b": failures(fault.NotFounded)}, fault.NotFounded, 2},
		{"one not founded", map[string][]scriptedReply{"a": failures(fault.NotFounded), "b": accepted}, "", 2},
		{"no replica replies", map[string][]scriptedReply{"a": failures(fault.ConnectFailed), "b": failures(fault.ConnectFailed)}, fault.ConnectFailed, 12},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*retryInterval+retryInterval/2)
				defer cancel()
				s := &scriptedCaller{replies: tc.replies}
				_, err := NewControlClient([]string{"a", "b"}, s).Apply(ctx, []byte("number: 4"))
				must.Eq(t, tc.want, fault.KindOf(err))
				must.Len(t, tc.calls, s.calls)
			})
		})
	}
}

func TestApplyReportsThatALostNoteMayBeAccepted(t *testing.T) {
	s := &scriptedCaller{replies: map[string][]scriptedReply{"a": failures(fault.ConnectionLost), "b": failures(fault.NoteGap)}}
	_, err := NewControlClient([]string{"a", "b"}, s).Apply(t.Context(), nil)
	must.Eq(t, fault.NoteGap, fault.KindOf(err))
	must.StrContains(t, fault.Message(err), "may have been accepted")

	s = &scriptedCaller{replies: map[string][]scriptedReply{"a": failures(fault.ConnectFailed), "b": failures(fault.NoteGap)}}
	_, err = NewControlClient([]string{"a", "b"}, s).Apply(t.Context(), nil)
	must.StrNotContains(t, fault.Message(err), "may have been accepted")
}

// TestWaitNeedsAConfirmedAnswer checks that WaitInEffect waits for a status that a
// quorum has confirmed. A replica that is cut off from the others may hold the
// version and know of no daemon that is behind.
func TestWaitNeedsAConfirmedAnswer(t *testing.T) {
	cases := []struct {
		name   string
		status protocol.StatusReply
		want   fault.Kind
	}{
		{"cut off", protocol.StatusReply{Version: 4, InEffect: true}, fault.NoLeader},
		{"older", protocol.StatusReply{Version: 3, InEffect: true, Confirmed: true}, fault.NoLeader},
		{"not everywhere", protocol.StatusReply{Version: 4, Confirmed: true}, fault.NoLeader},
		{"in force", protocol.StatusReply{Version: 4, InEffect: true, Confirmed: true}, ""},
		{"a later one in force", protocol.StatusReply{Version: 5, InEffect: true, Confirmed: true}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				s := &scriptedCaller{replies: map[string][]scriptedReply{"a": {{reply: tc.status}}}}
				must.Eq(t, tc.want, fault.KindOf(NewControlClient([]string{"a"}, s).WaitInEffect(ctx, 4)))
			})
		})
	}
}

func TestStatusPutsAnswersTogether(t *testing.T) {
	daemon := func(ago time.Duration, version uint64) []protocol.DaemonStatus {
		return []protocol.DaemonStatus{{Instance: "tides-1", RenewedAgo: ago, Version: version}}
	}
	s := &scriptedCaller{replies: map[string][]scriptedReply{
		"a": {{reply: protocol.StatusReply{Version: 9, Daemons: daemon(time.Second, 3)}}},
		"b": {{reply: protocol.StatusReply{Version: 4, Confirmed: true, Digest: "d", Daemons: daemon(time.Millisecond, 4)}}},
		"c": failures(fault.ConnectFailed),
	}}
	control := NewControlClient([]string{"a", "b", "c"}, &serialCaller{caller: s, semaphore: make(chan struct{}, 1)})
	overview, err := control.Status(t.Context())
	must.NoError(t, err)
	must.Eq(t, 4, overview.Version)
	must.True(t, overview.Confirmed)
	must.Eq(t, fault.ConnectFailed, overview.Replicas[2].Error)
	must.Len(t, 1, overview.Daemons)
	must.Eq(t, 4, overview.Daemons[0].Version)
	var out bytes.Buffer
	must.NoError(t, WriteStatus(&out, overview))
	must.StrContains(t, out.String(), "connect_failed")
	must.StrContains(t, out.String(), "tides-1")

	_, err = NewControlClient([]string{"c"}, s).Status(t.Context())
	must.Eq(t, fault.ConnectFailed, fault.KindOf(err))
}

// serialCaller passes one call at a time to a scriptedCaller.
type serialCaller struct {
	caller    Caller
	semaphore chan struct{}
}

func (s *serialCaller) Call(ctx context.Context, address, method string, params, reply any) error {
	s.semaphore <- struct{}{}
	defer func() { <-s.semaphore }()
	return s.caller.Call(ctx, address, method, params, reply)
}
