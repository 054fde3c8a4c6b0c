package announce

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Path is where targets announce themselves, by PUT.
const Path = "/v1/target"

// maxBody bounds one announcement, in bytes of JSON.
const maxBody = 8 << 10

// Problem is the body of a refusal.
type Problem struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
}

// ServeHTTP takes one announcement: 204 where it is in force for Life, and a
// Problem where it is refused.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if err := r.serve(w, req); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) error {
	if req.URL.Path != Path {
		return fault.New(fault.UnknownRoute, "the path is not %s", Path)
	}
	if req.Method != http.MethodPut {
		return fault.New(fault.BadRequest, "the method is not PUT")
	}
	a, err := decode(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		return err
	}
	return r.Announce(a, time.Now())
}

// decode reads exactly one announcement, without unknown fields.
func decode(body io.Reader) (protocol.Announcement, error) {
	var a protocol.Announcement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return a, fault.New(fault.TooLarge, "the announcement exceeds %d bytes", maxBody)
	}
	if err != nil {
		return a, fault.New(fault.BadRequest, "the announcement is not understood: %s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return a, fault.New(fault.BadRequest, "the announcement is followed by other content")
	}
	return a, nil
}

func refuse(w http.ResponseWriter, err error) {
	kind := fault.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.AnswerFor(kind).Status)
	_ = json.NewEncoder(w).Encode(Problem{Kind: kind, Message: fault.Message(err)})
}
