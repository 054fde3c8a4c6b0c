package ledger

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Limits bound one shard of the ledger. Every replica must use the same.
type Limits struct {
	// Retention is how long a record is kept, counted from its grant.
	Retention time.Duration
	// FenceLife is how long a fence is kept. It must exceed the longest time
	// that a claim may take to arrive.
	FenceLife time.Duration
	// Entries is the number of records and fences together.
	Entries int
	// Bytes bounds the size of records and fences, answers included.
	Bytes int
}

// DefaultLimits returns the limits of a shard.
func DefaultLimits() Limits {
	return Limits{
		Retention: 24 * time.Hour,
		FenceLife: 10 * time.Minute,
		Entries:   1 << 19,
		Bytes:     512 << 20,
	}
}

const (
	// MaxAnswerHeader is the room for status and headers of a stored answer
	// beside its body, in bytes.
	MaxAnswerHeader = 16 << 10
	// MaxKeyLength bounds each text of a command, in bytes.
	MaxKeyLength = 512
	// entryOverhead is counted for an entry beside its texts, in bytes.
	entryOverhead = 256
	// answerReserve is the part of Bytes that only answers may use, so that a
	// request that was granted can store its answer: one part in this many.
	answerReserve = 8
	// maxExpiries bounds the entries that one command takes out, so that no
	// command is slow. Entries past their time count as gone all the same.
	maxExpiries = 256
)

func validRequest(r protocol.OnceRequest) bool {
	for _, text := range []string{r.Key.Team, r.Key.Service, r.Key.Key, r.Attempt, r.Digest} {
		if len(text) > MaxKeyLength {
			return false
		}
	}
	return r.Attempt != "" && r.Key.Key != ""
}
