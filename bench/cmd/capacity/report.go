package main

import (
	"fmt"
	"io"
	"time"

	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
)

const (
	renewalRounds = 20
	ledgerCallers = 64
	ledgerEach    = 100
	microRuns     = 20000
	// onceShare is the assumed part of calls that run once.
	onceShare = 0.01
	// teams is the assumed number of teams, each with a key and a route.
	teams = 400
	// longestPass is how long a replica's loop may be busy before its followers
	// miss heartbeats.
	longestPass = 300 * time.Millisecond
	mebibyte    = 1 << 20
	kibibyte    = 1 << 10
)

// report measures everything and writes the tables.
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

func line(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format+"\n", args...)
	return err
}

func reportState(w io.Writer) error {
	config, targets, daemonsHeap, issuer := configuration(), table(), registryHeap(), issuerHeap()
	subset := float64(subscribedServices * min(registry.SubsetSize, daemons/services+1))
	holders := float64(daemons * teams / 10)
	if err := line(w, "| state | slope | at the size to design for |\n|---|---|---|"); err != nil {
		return err
	}
	rows := []struct {
		name  string
		each  float64
		unit  string
		value float64
	}{
		{"daemon: configuration", config.each, fmt.Sprintf("team with key and route; %d", teams), config.at(teams)},
		{"daemon: table of targets", targets.each, fmt.Sprintf("target; %.0f", subset), targets.at(subset)},
		{"replica: registry", daemonsHeap.each, fmt.Sprintf("daemon; %d", daemons), daemonsHeap.at(daemons)},
		{"leader: quota issuer", issuer.each, fmt.Sprintf("team and holder; %.0f", holders), issuer.at(holders)},
	}
	for _, r := range rows {
		if err := line(w, "| %s | %.0f B a %s | %.2f MiB |", r.name, r.each, r.unit, r.value/mebibyte); err != nil {
			return err
		}
	}
	return reportMicro(w)
}

// reportMicro writes the processor time of single operations.
func reportMicro(w io.Writer) error {
	r := registry.New("e")
	renew := perRun(microRuns, func(i int) { r.Renew(time.Now(), renewal(i%daemons)) })
	issuer := quota.NewIssuer()
	grant := perRun(1, func(int) { grants(issuer, microRuns) }) / microRuns
	command := perRun(1, func(int) { fillLedger(microRuns) }) / (2 * microRuns)
	return line(w, "\n| operation, decision alone | CPU |\n|---|---|\n| registry takes a renewal | %s |\n| issuer grants an ask | %s |\n| ledger applies a command | %s |", renew, grant, command)
}

func reportRenewals(w io.Writer, g *group) error {
	idle := idleCPU()
	r, err := measureRenewals(g, renewalRounds)
	if err != nil {
		return err
	}
	rate := float64(daemons) / replicas
	return line(w, `
| renewals over TLS | measured | at the size to design for |
|---|---|---|
| CPU of a renewal, both ends and the quorum round | %s | daemon: at most %.3f%% of a core |
| replica with %.0f renewals a second | | at most %.1f%% of a core |
| heap of a link and its daemon, both ends | %.1f KiB | replica: at most %.1f MiB |
| %d idle replicas with 2 groups each | %.2f%% of a core | |`,
		r.cpuEach, 100*r.cpuEach.Seconds()/renewInterval.Seconds(),
		rate, 100*r.cpuEach.Seconds()*rate,
		r.heap.each/kibibyte, r.heap.each*rate/mebibyte,
		replicas, 100*idle)
}

func reportLedger(w io.Writer, g *group) error {
	c, err := measureCommands(g, ledgerCallers, ledgerEach)
	if err != nil {
		return err
	}
	records := ledgerHeap()
	snapshot := ledgerSnapshot()
	once := callsPerSecond * onceShare
	shards := 2 * once / c.perSecond
	hour := records.each * once * 3600
	return line(w, `
| ledger shard, %d replicas | measured | at %.0f once calls a second |
|---|---|---|
| commands a second, %d callers, synced | %.0f | %.1f shards for 2 commands a call |
| CPU of a command, all replicas and the caller | %s | %.1f cores over all replicas |
| heap of a record with an answer of %d B | %.0f B | %.1f GiB for each hour kept, over all shards |
| snapshot of a record | %.0f B, captured in %.0f ns, encoded in %.0f ns | %.1f million records until capturing takes %s |`,
		replicas, once, ledgerCallers, c.perSecond, shards,
		c.cpuEach, 2*once*c.cpuEach.Seconds(),
		answerBytes, records.each, hour/(kibibyte*mebibyte),
		snapshot.bytes.each, snapshot.capture.each, snapshot.encode.each, float64(longestPass)/snapshot.capture.each/1e6, longestPass)
}
