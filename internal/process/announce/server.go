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

// Path is the URL path to which targets send their announcements with PUT.
const Path = "/v1/target"

// maxBodyBytes is the maximum size of an announcement in bytes of JSON, and maxReasonBytes
// that of the reason why one is refused.
const (
	maxBodyBytes   = 8 << 10
	maxReasonBytes = 400
)

// Problem is the body of an error response.
type Problem struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
}

// ServeHTTP processes one announcement. It responds with 204 if the
// announcement is accepted and now valid for TTL, and with a Problem otherwise.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if err := r.serve(w, req); err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) error {
	if req.URL.Path != Path {
		return fault.New(fault.UnknownRoute, "unknown path; announcements must be sent to %s", Path)
	}
	if req.Method != http.MethodPut {
		return fault.New(fault.BadRequest, "method not supported; announcements must be sent with PUT")
	}
	a, err := decode(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return r.Announce(a, time.Now())
}

// decode reads exactly one announcement. It rejects unknown fields.
func decode(body io.Reader) (protocol.Announcement, error) {
	var a protocol.Announcement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return a, fault.New(fault.TooLarge, "announcement exceeds the limit of %d bytes", maxBodyBytes)
	}
	if err != nil {
		return a, fault.New(fault.BadRequest, "malformed announcement: %s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return a, fault.New(fault.BadRequest, "unexpected content after the announcement")
	}
	return a, nil
}

func writeProblem(w http.ResponseWriter, err error) {
	kind := fault.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.ResponseFor(kind).Status)
	_ = json.NewEncoder(w).Encode(Problem{Kind: kind, Message: fault.Excerpt(fault.Message(err), maxReasonBytes)})
}
