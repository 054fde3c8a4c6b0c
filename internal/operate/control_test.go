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

// script is a Caller that answers the calls to each address in turn; the last
// answer stays.
type script struct {
	answers map[string][]answer
	calls   []string
}

type answer struct {
	kind  fault.Kind
	reply any
}

func (s *script) Call(_ context.Context, address, method string, _, reply any) error {
	s.calls = append(s.calls, address+" "+method)
	left := s.answers[address]
	if len(left) > 1 {
		s.answers[address] = left[1:]
	}
	if left[0].kind != "" {
		return fault.New(left[0].kind, "from %s", address)
	}
	b, err := json.Marshal(left[0].reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, reply)
}

func fails(kinds ...fault.Kind) []answer {
	answers := make([]answer, len(kinds))
	for i, kind := range kinds {
		answers[i] = answer{kind: kind}
	}
	return answers
}

func TestApplyResendsAndStopsAtRefusals(t *testing.T) {
	accepted := []answer{{reply: protocol.ApplyReply{Number: 4, Digest: "d", Repeated: true}}}
	cases := []struct {
		name    string
		answers map[string][]answer
		want    fault.Kind
		calls   int
	}{
		{"a lost answer is sent again", map[string][]answer{"a": fails(fault.ConnectionLost), "b": accepted}, "", 2},
		{"no leader yet", map[string][]answer{"a": fails(fault.NotLeader), "b": append(fails(fault.NoLeader, fault.NoLeader), accepted...)}, "", 6},
		{"a refusal is final", map[string][]answer{"a": fails(fault.NoteConflict), "b": accepted}, fault.NoteConflict, 1},
		{"a stranger is refused", map[string][]answer{"a": fails(fault.Forbidden), "b": accepted}, fault.Forbidden, 1},
		{"nothing founded", map[string][]answer{"a": fails(fault.NotFounded), "b": fails(fault.NotFounded)}, fault.NotFounded, 2},
		{"one not founded", map[string][]answer{"a": fails(fault.NotFounded), "b": accepted}, "", 2},
		{"nobody answers", map[string][]answer{"a": fails(fault.ConnectFailed), "b": fails(fault.ConnectFailed)}, fault.ConnectFailed, 12},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*roundPause+roundPause/2)
				defer cancel()
				s := &script{answers: tc.answers}
				_, err := NewControl([]string{"a", "b"}, s).Apply(ctx, []byte("number: 4"))
				must.Eq(t, tc.want, fault.KindOf(err))
				must.Len(t, tc.calls, s.calls)
			})
		})
	}
}

func TestApplyAdmitsThatALostNoteMayHaveWon(t *testing.T) {
	s := &script{answers: map[string][]answer{"a": fails(fault.ConnectionLost), "b": fails(fault.NoteGap)}}
	_, err := NewControl([]string{"a", "b"}, s).Apply(t.Context(), nil)
	must.Eq(t, fault.NoteGap, fault.KindOf(err))
	must.StrContains(t, fault.Message(err), "may have been accepted")

	s = &script{answers: map[string][]answer{"a": fails(fault.ConnectFailed), "b": fails(fault.NoteGap)}}
	_, err = NewControl([]string{"a", "b"}, s).Apply(t.Context(), nil)
	must.StrNotContains(t, fault.Message(err), "may have been accepted")
}

// TestWaitNeedsAConfirmedAnswer has a replica that is cut off, knows the
// version and sees no daemon that is behind.
func TestWaitNeedsAConfirmedAnswer(t *testing.T) {
	cases := []struct {
		name   string
		status protocol.StatusReply
		want   fault.Kind
	}{
		{"cut off", protocol.StatusReply{Version: 4, InForce: true}, fault.NoLeader},
		{"older", protocol.StatusReply{Version: 3, InForce: true, Confirmed: true}, fault.NoLeader},
		{"not everywhere", protocol.StatusReply{Version: 4, Confirmed: true}, fault.NoLeader},
		{"in force", protocol.StatusReply{Version: 4, InForce: true, Confirmed: true}, ""},
		{"a later one in force", protocol.StatusReply{Version: 5, InForce: true, Confirmed: true}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				s := &script{answers: map[string][]answer{"a": {{reply: tc.status}}}}
				must.Eq(t, tc.want, fault.KindOf(NewControl([]string{"a"}, s).WaitInForce(ctx, 4)))
			})
		})
	}
}

func TestStatusPutsAnswersTogether(t *testing.T) {
	daemon := func(ago time.Duration, version uint64) []protocol.DaemonStatus {
		return []protocol.DaemonStatus{{Instance: "tides-1", RenewedAgo: ago, Version: version}}
	}
	s := &script{answers: map[string][]answer{
		"a": {{reply: protocol.StatusReply{Version: 9, Daemons: daemon(time.Second, 3)}}},
		"b": {{reply: protocol.StatusReply{Version: 4, Confirmed: true, Digest: "d", Daemons: daemon(time.Millisecond, 4)}}},
		"c": fails(fault.ConnectFailed),
	}}
	control := NewControl([]string{"a", "b", "c"}, &serial{caller: s, turn: make(chan struct{}, 1)})
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

	_, err = NewControl([]string{"c"}, s).Status(t.Context())
	must.Eq(t, fault.ConnectFailed, fault.KindOf(err))
}

// serial lets one call at a time through to a script.
type serial struct {
	caller Caller
	turn   chan struct{}
}

func (s *serial) Call(ctx context.Context, address, method string, params, reply any) error {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	return s.caller.Call(ctx, address, method, params, reply)
}
