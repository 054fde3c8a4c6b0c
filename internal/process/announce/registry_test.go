package announce

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

func sampleAnnouncement() protocol.Announcement {
	return protocol.Announcement{Service: "tides", Address: "127.0.0.1:9000", Incarnation: "a1",
		Slots: 130, Connections: 900, State: protocol.Cold}
}

func sendAnnouncement(r *Registry, method, path, body string) (int, Problem) {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	var p Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p
}

func TestAnnounceOverHTTP(t *testing.T) {
	encoded, err := json.Marshal(sampleAnnouncement())
	must.NoError(t, err)
	text := string(encoded)
	replace := func(old, new string) string { return strings.Replace(text, old, new, 1) }
	cases := []struct {
		name, method, path, body string
		kind                     fault.Kind
	}{
		{"good", "PUT", Path, text, ""},
		{"method", "POST", Path, text, fault.BadRequest},
		{"path", "PUT", "/v1/other", text, fault.UnknownRoute},
		{"not JSON", "PUT", Path, "service: tides", fault.BadRequest},
		{"empty", "PUT", Path, "", fault.BadRequest},
		{"truncated", "PUT", Path, text[:len(text)-1], fault.BadRequest},
		{"two", "PUT", Path, text + text, fault.BadRequest},
		{"unknown field", "PUT", Path, replace(`"slots"`, `"slot"`), fault.BadRequest},
		{"wrong type", "PUT", Path, replace("130", `"130"`), fault.BadRequest},
		{"large", "PUT", Path, replace("a1", strings.Repeat("a", maxBodyBytes)), fault.TooLarge},
		{"service", "PUT", Path, replace("tides", "../x"), fault.BadRequest},
		{"not loopback", "PUT", Path, replace("127.0.0.1", "10.0.0.1"), fault.Forbidden},
		{"host name", "PUT", Path, replace("127.0.0.1", "localhost"), fault.BadRequest},
		{"no port", "PUT", Path, replace(":9000", ":0"), fault.BadRequest},
		{"incarnation", "PUT", Path, replace("a1", ""), fault.BadRequest},
		{"incarnation with a line break", "PUT", Path, replace("a1", `a\r\nb`), fault.BadRequest},
		{"no slots", "PUT", Path, replace("130", "0"), fault.BadRequest},
		{"too many slots", "PUT", Path, replace("130", "100001"), fault.BadRequest},
		{"no connections", "PUT", Path, replace("900", "-1"), fault.BadRequest},
		{"state", "PUT", Path, replace("cold", "hot"), fault.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(Hooks{})
			status, problem := sendAnnouncement(r, c.method, c.path, c.body)
			must.Eq(t, c.kind, problem.Kind, must.Sprint(problem.Message))
			if c.kind == "" {
				must.Eq(t, http.StatusNoContent, status)
				must.Eq(t, []protocol.Announcement{sampleAnnouncement()}, r.List())
				return
			}
			must.Eq(t, fault.ResponseFor(c.kind).Status, status)
			must.SliceEmpty(t, r.List())
		})
	}
}

func TestAnnouncementsExpire(t *testing.T) {
	var changes []string
	r := New(Hooks{
		OnAnnounce: func(before *protocol.Announcement, after protocol.Announcement) {
			changes = append(changes, fmt.Sprint(before == nil, " ", after.State))
		},
		OnExpire: func(last protocol.Announcement) { changes = append(changes, "gone "+last.Address) },
	})
	start := time.Now()
	a := sampleAnnouncement()
	must.NoError(t, r.Announce(a, start))
	must.NoError(t, r.Announce(a, start.Add(4*time.Second)))
	a.State = protocol.Leaving
	must.Eq(t, nil, r.Check("tides", a.Address))
	must.Eq(t, fault.NoTarget, fault.KindOf(r.Check("oprema", a.Address)))
	must.NoError(t, r.Announce(a, start.Add(5*time.Second)))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(r.Check("tides", a.Address)))
	a.Service = "oprema"
	must.Eq(t, fault.BadRequest, fault.KindOf(r.Announce(a, start)))

	r.Sweep(start.Add(5*time.Second + TTL - 1))
	must.Len(t, 1, r.List())
	r.Sweep(start.Add(5*time.Second + TTL))
	must.SliceEmpty(t, r.List())
	must.Eq(t, fault.NoTarget, fault.KindOf(r.Check("tides", a.Address)))
	must.Eq(t, []string{"true cold", "false leaving", "gone 127.0.0.1:9000"}, changes)
}

func TestTargetsAreBounded(t *testing.T) {
	r := New(Hooks{})
	a := sampleAnnouncement()
	for port := range maxTargets {
		a.Address = fmt.Sprintf("127.0.0.1:%d", 9000+port)
		must.NoError(t, r.Announce(a, time.Now()))
	}
	must.NoError(t, r.Announce(a, time.Now()), must.Sprint("renewal of a known target"))
	a.Address = "[::1]:9000"
	must.Eq(t, fault.Overloaded, fault.KindOf(r.Announce(a, time.Now())))
}

func FuzzDecode(f *testing.F) {
	encoded, err := json.Marshal(sampleAnnouncement())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(encoded))
	f.Add("{}")
	f.Add("[")
	f.Add(`{"service":"tides","slots":1e99}`)
	f.Fuzz(func(t *testing.T, body string) {
		r := New(Hooks{})
		status, problem := sendAnnouncement(r, http.MethodPut, Path, body)
		must.True(t, status == http.StatusNoContent || problem.Kind != "")
		must.Eq(t, status == http.StatusNoContent, len(r.List()) == 1)
	})
}

// TestRefusedAnnouncementsRepeatLittle guards against refusals that repeat a whole announcement.
func TestRefusedAnnouncementsRepeatLittle(t *testing.T) {
	encoded, err := json.Marshal(sampleAnnouncement())
	must.NoError(t, err)
	long := strings.Repeat("7", maxBodyBytes/2)
	for _, change := range [][2]string{{"tides", long}, {"127.0.0.1", long}, {"cold", long}, {"130", long}, {`"service"`, `"` + long + `"`}, {"cold", strings.Repeat("\\u0001", 1200)}} {
		w := httptest.NewRecorder()
		New(Hooks{}).ServeHTTP(w, httptest.NewRequest(http.MethodPut, Path, strings.NewReader(strings.Replace(string(encoded), change[0], change[1], 1))))
		must.Eq(t, http.StatusBadRequest, w.Code)
		must.LessEq(t, 4096, w.Body.Len(), must.Sprint(change[0]))
	}
}
