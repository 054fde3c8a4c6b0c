package version

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawEntries draws the content of a full configuration.
func drawEntries(t *rapid.T) Entries {
	e := Entries{Services: []Service{{Name: "s"}, {Name: "t", ColdRate: float64(rapid.IntRange(0, 2).Draw(t, "cold"))}}}
	for i := range 4 {
		if rapid.Bool().Draw(t, "route") {
			e.Routes = append(e.Routes, Route{
				Name: rapid.SampledFrom([]string{fmt.Sprint("r", i), "r0", ""}).Draw(t, "name"), Host: "h", Path: fmt.Sprintf("/%d/", i), Timeout: time.Second,
				Split: []Share{{Service: "s", Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight"))}, {Service: "t", Weight: 1}},
			})
		}
		if rapid.Bool().Draw(t, "team") {
			rank := rapid.IntRange(0, 1).Draw(t, "rank")
			hash := HashKey(fmt.Sprint(i, rapid.IntRange(0, 1).Draw(t, "secret")))
			e.Teams = append(e.Teams, Team{Name: fmt.Sprint("team", i), Rate: 1, Burst: 1, Rank: &rank})
			e.Keys = append(e.Keys, Key{ID: KeyID(hash), Team: fmt.Sprint("team", i), Hash: hash})
		}
	}
	if rapid.Bool().Draw(t, "limits") {
		e.Limits = &Limits{BodyBytes: int64(rapid.IntRange(1, 2).Draw(t, "bytes"))}
	}
	return e
}

// TestUpdatesLeadToTheSameContent checks that a daemon that follows updates, over any
// number of states at a time, has the content that the replicas have, without the text
// of the configuration.
func TestUpdatesLeadToTheSameContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, held := Initial(), Initial()
		for revision := uint64(1); revision < 12; revision++ {
			order := &Order{Domain: &FailureDomain{Name: "z", InService: revision%2 == 0}}
			if rapid.IntRange(0, 3).Draw(t, "order") > 0 {
				order = &Order{Configuration: &FullConfiguration{
					Revision: revision, Base: state.Revision(), Source: []byte("text"), Entries: drawEntries(t),
				}}
			}
			next, err := state.ApplyOrder(order)
			must.NoError(t, err)
			state = next
			if rapid.Bool().Draw(t, "skip") {
				continue
			}
			encoded, err := UpdateBetween(held, state).Encode()
			must.NoError(t, err)
			update, err := DecodeUpdate(encoded)
			must.NoError(t, err)
			held = held.ApplyUpdate(update)
			must.Eq(t, state.ContentDigest(), held.ContentDigest())
			must.Eq(t, state.Revision(), held.Revision())
			must.Eq(t, state.NoteDigest(), held.NoteDigest())
			must.Nil(t, held.Source())
		}
		encoded, err := state.EncodeContent()
		must.NoError(t, err)
		complete, err := DecodeState(encoded)
		must.NoError(t, err)
		must.Eq(t, state.ContentDigest(), complete.ContentDigest())
	})
}

// TestUpdateOfOneRouteIsSmall replays a change of one route in a configuration of 400
// routes and 90 teams: the update must not grow with the configuration.
func TestUpdateOfOneRouteIsSmall(t *testing.T) {
	const maxUpdateBytes = 512
	full := manyRoutes(400).Order.Configuration.Entries
	for i := range 90 {
		hash := HashKey(fmt.Sprint(i))
		full.Teams = append(full.Teams, Team{Name: fmt.Sprint("team", i), Rate: 1, Burst: 1})
		full.Keys = append(full.Keys, Key{ID: KeyID(hash), Team: fmt.Sprint("team", i), Hash: hash})
	}
	before, err := Initial().ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 1, Entries: full}})
	must.NoError(t, err)
	full.Routes[7].Timeout += time.Second
	after, err := before.ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 2, Base: 1, Entries: full}})
	must.NoError(t, err)
	encoded, err := UpdateBetween(before, after).Encode()
	must.NoError(t, err)
	must.LessEq(t, maxUpdateBytes, len(encoded))
}

// FuzzDecodeUpdate checks that damaged updates are refused, or decoded to some
// content, without a panic.
func FuzzDecodeUpdate(f *testing.F) {
	state, err := Initial().ApplyOrder(configurationOrder(7, 0))
	must.NoError(f, err)
	encoded, err := UpdateBetween(Initial(), state).Encode()
	must.NoError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{compressedMarker})
	f.Fuzz(func(_ *testing.T, b []byte) {
		if update, err := DecodeUpdate(b); err == nil {
			_ = Initial().ApplyUpdate(update).ContentDigest()
		}
	})
}
