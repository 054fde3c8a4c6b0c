package protocol

import (
	"encoding/json"
	"strings"

	"github.com/teaselrack/teaselrack/internal/connection/traffic"
)

// purposes are those of whole messages, by method. Renewals are split further.
var purposes = map[string]traffic.Purpose{
	MethodRenew:   traffic.Renewal,
	MethodOrder:   traffic.Configuration,
	MethodApply:   traffic.Configuration,
	MethodDepart:  traffic.Registry,
	MethodCrashes: traffic.Registry,
	MethodSync:    traffic.Registry,
	MethodReplica: traffic.Replication,
	MethodOnce:    traffic.Ledger,
}

// renewParts are the parts of renewals and of their replies that are counted for a
// purpose of their own.
type renewParts struct {
	Targets  json.RawMessage `json:"t"`
	Registry json.RawMessage `json:"r"`
	Quota    json.RawMessage `json:"q"`
	Notes    json.RawMessage `json:"n"`
	Snapshot json.RawMessage `json:"s"`
	Updates  json.RawMessage `json:"u"`
	Content  json.RawMessage `json:"ct"`
	// QuotaOnly is true in a request for tokens between two renewals.
	QuotaOnly bool `json:"qo"`
}

// CountMessage counts a message of size bytes on the link to an address. payload is
// the uncompressed parameters or result of a call of method.
func CountMessage(c *traffic.Counter, address, method string, payload []byte, size int) {
	name, _, forwarded := strings.Cut(method, ".forwarded")
	purpose, ok := purposes[name]
	if !ok {
		purpose = traffic.Other
	}
	if name != MethodRenew {
		c.Add(address, purpose, size)
		return
	}
	var parts renewParts
	if json.Unmarshal(payload, &parts) != nil || parts.QuotaOnly || forwarded {
		c.Add(address, traffic.Quota, size)
		return
	}
	rest := size
	for _, part := range []struct {
		purpose traffic.Purpose
		bytes   int
	}{
		{traffic.Registry, len(parts.Targets) + len(parts.Registry)},
		{traffic.Quota, len(parts.Quota)},
		{traffic.Configuration, len(parts.Notes) + snapshotBytes(parts.Snapshot) + len(parts.Updates) + len(parts.Content)},
	} {
		n := size * part.bytes / max(len(payload), 1)
		c.Add(address, part.purpose, n)
		rest -= n
	}
	c.Add(address, traffic.Renewal, rest)
}

// snapshotBytes returns the length of a snapshot in a reply. In a request, the field
// of that name holds the subscriptions, a list.
func snapshotBytes(raw json.RawMessage) int {
	if len(raw) == 0 || raw[0] == '[' {
		return 0
	}
	return len(raw)
}
