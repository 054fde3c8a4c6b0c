package main

import (
	"fmt"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/version"
)

// configurationHeap returns the heap of a version.State by number of teams,
// each with one key and one route.
func configurationHeap() linearFit {
	return heapGrowth([]int{200, 800, 3200}, func(size int) any {
		var e version.Entries
		for i := range size {
			name := fmt.Sprintf("team-%05d", i)
			e.Teams = append(e.Teams, version.Team{Name: name, Rate: 10, Burst: 20, Weight: 1})
			e.Keys = append(e.Keys, version.Key{Team: name, Hash: version.HashKey(name)})
			e.Routes = append(e.Routes, version.Route{Name: name, Path: "/" + name, Service: name, Importance: version.Normal, Mode: version.Idempotent, Access: version.Keyed, Timeout: time.Second})
		}
		state, err := version.Initial().Apply(&version.Note{Number: 1, Added: e})
		if err != nil {
			panic(err)
		}
		return state
	})
}

func targetRecord(i int) protocol.TargetRecord {
	return protocol.TargetRecord{
		Service:       fmt.Sprintf("service-%03d", i%services),
		Instance:      fmt.Sprintf("daemon-%04d", i),
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:8101", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%4),
		State:         protocol.Warm,
		Slots:         100,
	}
}

// targetTableHeap returns the heap of a daemon's target table by number of
// targets.
func targetTableHeap() linearFit {
	return heapGrowth([]int{100, 400, 1600}, func(size int) any {
		t := registry.NewTable(time.Now)
		delta := &protocol.RegistryDelta{Epoch: "e", Version: 1, Full: true}
		for i := range size {
			delta.Upserts = append(delta.Upserts, targetRecord(i))
		}
		t.Apply(delta)
		return t
	})
}

func renewal(i int) protocol.RenewRequest {
	r := targetRecord(i)
	return protocol.RenewRequest{
		Instance: r.Instance, Session: fmt.Sprintf("%032d", i), PeerAddress: r.PeerAddress, FailureDomain: r.FailureDomain,
		Targets: []protocol.Announcement{{Service: r.Service, Address: "127.0.0.1:9000", Incarnation: fmt.Sprintf("%032d", i), Slots: 100, Connections: 900, State: protocol.Warm}},
	}
}

// registryHeap returns the heap of a replica's registry by number of daemons.
func registryHeap() linearFit {
	return heapGrowth([]int{250, 1000, 4000}, func(size int) any {
		r := registry.New("e")
		for i := range size {
			r.Renew(time.Now(), renewal(i))
		}
		return r
	})
}

func onceClaim(i int) protocol.OnceRequest {
	return protocol.OnceRequest{
		Operation: protocol.OnceClaim,
		Key:       protocol.OnceKey{Team: "team-00001", Service: "service-001", Key: fmt.Sprintf("%036d", i)},
		Attempt:   fmt.Sprintf("%032d", i),
		Digest:    fmt.Sprintf("%064d", i),
	}
}

func applyCommand(m *ledger.Machine, now time.Duration, request protocol.OnceRequest) {
	command, err := ledger.EncodeCommand(now, request)
	if err != nil {
		panic(err)
	}
	m.Apply(0, command)
}

// fillLedger claims and completes size keys, each with a small response.
func fillLedger(size int) *ledger.Machine {
	m := ledger.NewMachine(ledger.DefaultLimits())
	for i := range size {
		request := onceClaim(i)
		applyCommand(m, time.Duration(i), request)
		request.Operation = protocol.OnceComplete
		request.Response = &protocol.StoredResponse{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, responseBytes)}
		applyCommand(m, time.Duration(i), request)
	}
	return m
}

// responseBytes is the body size in bytes of a stored response in these
// measurements.
const responseBytes = 200

// ledgerHeap returns the heap of a ledger shard by number of records.
func ledgerHeap() linearFit {
	return heapGrowth([]int{5000, 20000, 80000}, func(size int) any { return fillLedger(size) })
}

// snapshotCost is the cost of the snapshot of a shard by number of records.
type snapshotCost struct {
	// bytes is the size of the snapshot in bytes. capture and encode are
	// processor time in nanoseconds;
	// only capture runs in the replica's event loop.
	bytes, capture, encode linearFit
}

// ledgerSnapshot measures snapshots of ledger shards of different sizes.
func ledgerSnapshot() snapshotCost {
	var sizes, captures, encodes []sample
	for _, records := range []int{5000, 20000, 80000} {
		m := fillLedger(records)
		begin := cpu()
		encode := m.CaptureSnapshot()
		captured := cpu()
		b, err := encode()
		if err != nil {
			panic(err)
		}
		captures = append(captures, sample{records, float64(captured - begin)})
		encodes = append(encodes, sample{records, float64(cpu() - captured)})
		sizes = append(sizes, sample{records, float64(len(b))})
	}
	return snapshotCost{fit(sizes), fit(captures), fit(encodes)}
}

// issuerHeap returns the heap of the quota issuer by number of pairs of team
// and holder.
func issuerHeap() linearFit {
	return heapGrowth([]int{1000, 4000, 16000}, func(size int) any {
		issuer := quota.NewIssuer()
		issueGrants(issuer, size)
		return issuer
	})
}

// issuerTeams is the number of teams that the grants are spread over.
const issuerTeams = 100

func issueGrants(issuer *quota.Issuer, size int) {
	start := time.Unix(0, 0)
	issuer.Reset(start)
	now := start.Add(time.Minute)
	for i := range size {
		team := version.Team{Name: fmt.Sprintf("team-%05d", i%issuerTeams), Rate: 1e5, Burst: 1e5}
		issuer.Grant(now, fmt.Sprintf("daemon-%04d", i/issuerTeams), protocol.QuotaRequest{Team: team.Name, Want: 10, Sequence: 1}, team)
	}
}
