package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// TestOddMessageAmongGoodOnes guards against a batch of messages between replicas of which
// those after one that cannot be read are lost, and with them the sender's queue.
func TestOddMessageAmongGoodOnes(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	now := time.Unix(1000, 0)
	received := 0
	s := &Service{options: Options{Receive: func(replica.Message) { received++ }, Log: zap.New(core), Clock: func() time.Time { return now }}}
	good, err := replica.Message{Type: replica.Probe, Group: "g"}.Encode()
	must.NoError(t, err)
	unknown, err := replica.Message{Type: replica.ReadIndexReply + 1, Group: "g"}.Encode()
	must.NoError(t, err)
	odd := [][]byte{
		nil, []byte("x"), good[:len(good)-1], unknown,
		bytes.Repeat([]byte{0x81}, 100_000),                                // nested arrays
		append(bytes.Repeat([]byte{0xa1, 0x01}, 50_000), 0x01),             // nested maps
		{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},             // an array of 2^64-1 items
		{0xa1, 0x01, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // a number below all integers
	}
	batch := [][]byte{good}
	for _, b := range odd {
		batch = append(batch, b, good)
	}
	for range 10 {
		_, err = s.Receive(t.Context(), mesh.Peer{}, protocol.ReplicaMessages{Messages: batch})
		must.NoError(t, err)
	}
	must.Eq(t, 10*(len(odd)+1), received)
	must.Eq(t, 1, lines.Len(), must.Sprint("one line a second"))
	must.Eq(t, int64(len(odd)), lines.All()[0].ContextMap()["skipped"].(int64))
}
