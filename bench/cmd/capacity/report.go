package main

import (
	"fmt"
	"io"
	"time"

	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
)

const (
	renewalRounds     = 20
	ledgerCallers     = 64
	commandsPerCaller = 100
	// microRuns is the number of runs over which the processor time of an
	// operation is averaged.
	microRuns = 20000
	// onceShare is the assumed share of calls that are once requests.
	onceShare = 0.01
	// teams is the assumed number of teams, each with one key and one route.
	teams = 400
	// maxLoopPause is how long a replica's event loop may be busy before its
	// followers miss heartbeats.
	maxLoopPause = 300 * time.Millisecond
	mebibyte     = 1 << 20
	kibibyte     = 1 << 10
)

// report runs all measurements and writes the tables.
func report(w io.Writer) error {
	if err := reportState(w); err != nil {
		return err
	}
	g, err := newGroup(replicas)
	if err != nil {
		return err
	}
	defer g.close()
	if err := reportRenewals(w, g); err != nil {
		return err
	}
	return reportLedger(w, g)
}

func writeLine(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format+"\n", args...)
	return err
}

// reportState writes how the heap of each state grows, and then the processor
// time of single operations.
func reportState(w io.Writer) error {
	config, targets, daemonsHeap, issuer := configurationHeap(), targetTableHeap(), registryHeap(), issuerHeap()
	subset := float64(subscribedServices * min(registry.SubsetSize, daemons/services+1))
	holders := float64(daemons * teams / 10)
	if err := writeLine(w, "| state | slope | at the design size |\n|---|---|---|"); err != nil {
		return err
	}
	rows := []struct {
		name  string
		slope float64
		unit  string
		value float64
	}{
		{"daemon: configuration", config.slope, fmt.Sprintf("team with key and route; %d", teams), config.at(teams)},
		{"daemon: target table", targets.slope, fmt.Sprintf("target; %.0f", subset), targets.at(subset)},
		{"replica: registry", daemonsHeap.slope, fmt.Sprintf("daemon; %d", daemons), daemonsHeap.at(daemons)},
		{"leader: quota issuer", issuer.slope, fmt.Sprintf("team and holder; %.0f", holders), issuer.at(holders)},
	}
	for _, r := range rows {
		if err := writeLine(w, "| %s | %.0f B per %s | %.2f MiB |", r.name, r.slope, r.unit, r.value/mebibyte); err != nil {
			return err
		}
	}
	return reportOperations(w)
}

// reportOperations writes the processor time of single operations.
func reportOperations(w io.Writer) error {
	r := registry.New("e")
	renew := cpuPerRun(microRuns, func(i int) { r.Renew(time.Now(), renewal(i%daemons)) })
	issuer := quota.NewIssuer()
	grant := cpuPerRun(1, func(int) { issueGrants(issuer, microRuns) }) / microRuns
	command := cpuPerRun(1, func(int) { fillLedger(microRuns) }) / (2 * microRuns)
	return writeLine(w, "\n| operation, decision logic only | CPU |\n|---|---|\n| registry handles a renewal | %s |\n| issuer grants a token request | %s |\n| ledger applies a command | %s |", renew, grant, command)
}

func reportRenewals(w io.Writer, g *group) error {
	idle := idleCPU()
	r, err := measureRenewals(g, renewalRounds)
	if err != nil {
		return err
	}
	renewalsPerReplica := float64(daemons) / replicas
	return writeLine(w, `
| renewals over TLS | measured | at the design size |
|---|---|---|
| CPU of a renewal, both ends and the quorum round | %s | daemon: at most %.3f%% of a core |
| replica with %.0f renewals per second | | at most %.1f%% of a core |
| heap of a link and its daemon, both ends | %.1f KiB | replica: at most %.1f MiB |
| %d idle replicas with 2 groups each | %.2f%% of a core | |`,
		r.cpuPerRenewal, 100*r.cpuPerRenewal.Seconds()/renewInterval.Seconds(),
		renewalsPerReplica, 100*r.cpuPerRenewal.Seconds()*renewalsPerReplica,
		r.heap.slope/kibibyte, r.heap.slope*renewalsPerReplica/mebibyte,
		replicas, 100*idle)
}

func reportLedger(w io.Writer, g *group) error {
	c, err := measureCommands(g, ledgerCallers, commandsPerCaller)
	if err != nil {
		return err
	}
	records := ledgerHeap()
	snapshot := ledgerSnapshot()
	onceRate := callsPerSecond * onceShare
	shards := 2 * onceRate / c.perSecond
	bytesPerHour := records.slope * onceRate * 3600
	return writeLine(w, `
| ledger shard, %d replicas | measured | at %.0f once requests per second |
|---|---|---|
| commands per second, %d callers, synced | %.0f | %.1f shards for 2 commands per request |
| CPU of a command, all replicas and the caller | %s | %.1f cores over all replicas |
| heap of a record with a response of %d B | %.0f B | %.1f GiB per hour of retention, over all shards |
| snapshot of a record | %.0f B, captured in %.0f ns, encoded in %.0f ns | %.1f million records until capturing takes %s |`,
		replicas, onceRate, ledgerCallers, c.perSecond, shards,
		c.cpuPerCommand, 2*onceRate*c.cpuPerCommand.Seconds(),
		responseBytes, records.slope, bytesPerHour/(kibibyte*mebibyte),
		snapshot.bytes.slope, snapshot.capture.slope, snapshot.encode.slope, float64(maxLoopPause)/snapshot.capture.slope/1e6, maxLoopPause)
}
