package relay

import (
	"math"
	"net/http"
	"strconv"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/local"
)

// readStatement returns what a target says about itself in the header of a response.
// A malformed limit counts as none. Errors: AnswerBroken, with the remaining
// statement.
func readStatement(names HeaderNames, h http.Header) (local.Statement, error) {
	s := local.Statement{Leaving: h.Get(names.Leaving) == "1"}
	text := h.Get(names.Limit)
	if text == "" {
		return s, nil
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return s, fault.New(fault.AnswerBroken, "the target states the limit %q, which is not a number of requests per second", text)
	}
	s.Limited, s.Limit = true, limit
	return s, nil
}
