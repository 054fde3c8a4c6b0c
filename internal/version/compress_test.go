package version

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// manyRoutes is a configuration with many routes that differ in their names.
func manyRoutes(n int) *Note {
	whole := &Whole{Revision: 1}
	for i := range n {
		r := Route{Name: fmt.Sprintf("r-%d", i), Host: "a.example", Path: fmt.Sprintf("/p%d/", i), Service: "s", Mode: Idempotent, Access: Keyed}
		whole.Entries.Routes = append(whole.Entries.Routes, r)
		whole.Source = fmt.Appendf(whole.Source, `["r-%d","a.example","/p%d/","safe",1200,2000,2,null,2,false,"s"],`, i, i)
	}
	return &Note{Order: &Order{Whole: whole}}
}

// TestLongNotesAreCompressed: a configuration of 400 routes, with the text that
// it was read from, goes over the network in less than a quarter of its length.
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
	must.NoError(t, err, must.Sprint("logs of earlier releases hold notes as they are"))
	must.Eq(t, n.Digest(), old.Digest())

	state, err := Initial().Carry(n.Order)
	must.NoError(t, err)
	image, err := state.Encode()
	must.NoError(t, err)
	must.Less(t, len(plain)/4, len(image))
	again, err := DecodeState(image)
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

// TestDamagedCompression: what cannot be decompressed, or only to more than a
// message may hold, is an error.
func TestDamagedCompression(t *testing.T) {
	_, err := DecodeNote([]byte{compressed, 1, 2, 3})
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	_, err = DecodeState([]byte{compressed, 1, 2, 3})
	must.Eq(t, fault.Damaged, fault.KindOf(err))

	var long bytes.Buffer
	long.WriteByte(compressed)
	w, err := flate.NewWriter(&long, flate.BestSpeed)
	must.NoError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxPlainBytes/len(zeros) + 1 {
		_, err = w.Write(zeros)
		must.NoError(t, err)
	}
	must.NoError(t, w.Close())
	_, err = DecodeNote(long.Bytes())
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
}
