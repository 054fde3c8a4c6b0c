package envelope

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

func testEnvelope() *Envelope {
	return &Envelope{
		RequestID: NewID(), AttemptID: NewID(), Team: "obala", KeyID: "2bb80d537b1da3e3",
		Importance: version.Critical, Cohort: 5, Depth: 1, Remaining: time.Second,
		Root: "10.0.0.1:7000", Service: "blagajna", Mode: version.Once, OnceKey: "k-1", Version: 7,
	}
}

func TestCodec(t *testing.T) {
	e := testEnvelope()
	value, err := Encode(e)
	must.NoError(t, err)
	back, err := Decode(value)
	must.NoError(t, err)
	must.Eq(t, e, back)
}

func TestEncodeRejectsInvalidEnvelope(t *testing.T) {
	cases := map[string]func(e *Envelope){
		"request id":     func(e *Envelope) { e.RequestID = "x" },
		"upper case":     func(e *Envelope) { e.AttemptID = strings.Repeat("A", 32) },
		"team":           func(e *Envelope) { e.Team = "" },
		"importance":     func(e *Envelope) { e.Importance = 9 },
		"cohort":         func(e *Envelope) { e.Cohort = CohortCount },
		"depth":          func(e *Envelope) { e.Depth = 0 },
		"no time":        func(e *Envelope) { e.Remaining = 0 },
		"endless":        func(e *Envelope) { e.Remaining = time.Hour },
		"root":           func(e *Envelope) { e.Root = "somewhere" },
		"mode":           func(e *Envelope) { e.Mode = "" },
		"key missing":    func(e *Envelope) { e.OnceKey = "" },
		"unexpected key": func(e *Envelope) { e.Mode = version.Idempotent },
		"key too long":   func(e *Envelope) { e.OnceKey = strings.Repeat("k", MaxOnceKey+1) },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEnvelope()
			corrupt(e)
			_, err := Encode(e)
			must.Eq(t, fault.BadRequest, fault.KindOf(err))
		})
	}
}

func FuzzDecode(f *testing.F) {
	value, err := Encode(testEnvelope())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add("")
	f.Add("!!")
	f.Add(strings.Repeat("A", MaxEncoded+1))
	f.Add(encoding.EncodeToString([]byte{0xbf, 0x01}))
	f.Fuzz(func(t *testing.T, value string) {
		e, err := Decode(value)
		if err != nil {
			kind := fault.KindOf(err)
			must.True(t, kind == fault.BadRequest || kind == fault.TooLarge)
			return
		}
		again, err := Encode(e)
		must.NoError(t, err)
		back, err := Decode(again)
		must.NoError(t, err)
		must.Eq(t, e, back)
	})
}
