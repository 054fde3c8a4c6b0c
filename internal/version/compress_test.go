package version

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// manyRoutes returns a note with n routes that differ in name and path.
func manyRoutes(n int) *Note {
	configuration := &FullConfiguration{Revision: 1}
	for i := range n {
		r := Route{Name: fmt.Sprintf("r-%d", i), Host: "a.example", Path: fmt.Sprintf("/p%d/", i), Service: "s", Mode: Idempotent, Access: Keyed}
		configuration.Entries.Routes = append(configuration.Entries.Routes, r)
		configuration.Source = fmt.Appendf(configuration.Source, `["r-%d","a.example","/p%d/","safe",1200,2000,2,null,2,false,"s"],`, i, i)
	}
	return &Note{Order: &Order{Configuration: configuration}}
}

// TestLongNotesAreCompressed checks that a configuration of 400 routes, with the
// text it was read from, is encoded in less than a quarter of its plain size.
func TestLongNotesAreCompressed(t *testing.T) {
	n := manyRoutes(400)
	plain, err := canonical.Marshal(n)
	must.NoError(t, err)
	encoded, err := n.Encode()
	must.NoError(t, err)
	must.Less(t, len(plain)/4, len(encoded))
	decoded, err := DecodeNote(encoded)
	must.NoError(t, err)
	must.Eq(t, n.Digest(), decoded.Digest())
	old, err := DecodeNote(plain)
	must.NoError(t, err, must.Sprint("logs of earlier releases hold uncompressed notes"))
	must.Eq(t, n.Digest(), old.Digest())

	state, err := Initial().ApplyOrder(n.Order)
	must.NoError(t, err)
	encodedState, err := state.Encode()
	must.NoError(t, err)
	must.Less(t, len(plain)/4, len(encodedState))
	again, err := DecodeState(encodedState)
	must.NoError(t, err)
	must.Eq(t, state.Digest(), again.Digest())
}

func TestShortNotesStayAsTheyAre(t *testing.T) {
	n := manyRoutes(1)
	plain, err := canonical.Marshal(n)
	must.NoError(t, err)
	encoded, err := n.Encode()
	must.NoError(t, err)
	must.Eq(t, plain, encoded)
}

// TestDamagedCompression checks that data which cannot be decompressed, or which
// decompresses to more than maxPlainBytes, is an error.
func TestDamagedCompression(t *testing.T) {
	_, err := DecodeNote([]byte{compressedMarker, 1, 2, 3})
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	_, err = DecodeState([]byte{compressedMarker, 1, 2, 3})
	must.Eq(t, fault.Damaged, fault.KindOf(err))

	var long bytes.Buffer
	long.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&long, flate.BestSpeed)
	must.NoError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxPlainBytes/len(zeros) + 1 {
		_, err = w.Write(zeros)
		must.NoError(t, err)
	}
	must.NoError(t, w.Close())
	_, err = decompress(long.Bytes())
	must.Eq(t, fault.TooLarge, fault.KindOf(err))
	_, err = DecodeNote(long.Bytes())
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
}
