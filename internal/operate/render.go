package operate

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	columnPadding     = 2
	shortDigestLength = 12
	eventTimeLayout   = "15:04:05.000000"
)

// WriteStatus writes the overview as text tables.
func WriteStatus(w io.Writer, o Overview) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	p := printer{w: t}
	p.line("configuration\tversion %d\tdigest %s\tconfirmed %t\tin force everywhere %t", o.Version, shortenDigest(o.Digest), o.Confirmed, o.InEffect)
	p.line("")
	p.line("REPLICA\tGROUP\tID\tROLE\tTERM\tCOMMIT\tAPPLIED\tMEMBERS")
	for _, replica := range o.Replicas {
		p.replica(replica)
	}
	p.line("")
	p.line("DAEMON\tFAILURE DOMAIN\tPEER\tVERSION\tRENEWED\tSTATE\tTARGETS")
	for _, daemon := range o.Daemons {
		p.daemon(daemon)
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// WriteTimeline writes one line for each event.
func WriteTimeline(w io.Writer, timeline Timeline) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	p := printer{w: t}
	for _, e := range timeline.Events {
		when := time.Unix(0, e.Wall).UTC().Format(eventTimeLayout)
		p.line("%s+%d\t%s\t%s\t%s", when, e.Logical, e.Process, e.Name, attributes(e))
	}
	if timeline.Dropped > 0 {
		p.line("%d older events were overwritten", timeline.Dropped)
	}
	if len(timeline.Missing) > 0 {
		p.line("not reached: %s", strings.Join(timeline.Missing, ", "))
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// WritePlan writes the changes that a note would make.
func WritePlan(w io.Writer, plan protocol.PlanReply) error {
	p := printer{w: w}
	p.line("note %d: %d changes", plan.Number, len(plan.Changes))
	marks := map[version.Action]string{version.Added: "+", version.Changed: "~", version.Withdrawn: "-"}
	for _, change := range plan.Changes {
		p.line("%s %s %s", marks[change.Action], change.Kind, change.Name)
		p.block("    - ", change.Before)
		p.block("    + ", change.After)
	}
	return p.err
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) block(prefix, text string) {
	for line := range strings.Lines(text) {
		p.line("%s%s", prefix, strings.TrimRight(line, "\n"))
	}
}

func (p *printer) replica(r ReplicaView) {
	if r.Error != "" {
		p.line("%s\t-\t-\t%s", r.Address, r.Error)
		return
	}
	for _, g := range r.Groups {
		p.line("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s", r.Address, g.Group, g.ID, g.Role, g.Term, g.Commit, g.Applied, members(g.Members))
	}
}

func (p *printer) daemon(d protocol.DaemonStatus) {
	state := "serving"
	if d.Leaving {
		state = "leaving"
	}
	p.line("%s\t%s\t%s\t%d\t%s ago\t%s\t%s", d.Instance, d.FailureDomain, d.PeerAddress, d.Version,
		d.RenewedAgo.Round(time.Millisecond), state, targets(d.Targets))
}

func members(all []protocol.MemberStatus) string {
	names := make([]string, 0, len(all))
	for _, m := range all {
		name := m.Address
		if m.Learner {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func targets(all []protocol.Announcement) string {
	names := make([]string, 0, len(all))
	for _, a := range all {
		names = append(names, fmt.Sprintf("%s %s, %d slots", a.Service, a.State, a.Slots))
	}
	return strings.Join(names, "; ")
}

func attributes(e protocol.Event) string {
	var parts []string
	for _, part := range []struct{ name, value string }{
		{"request", e.Request}, {"team", e.Team}, {"target", e.Target}, {"detail", e.Detail},
	} {
		if part.value != "" {
			parts = append(parts, part.name+"="+part.value)
		}
	}
	return strings.Join(parts, " ")
}

func shortenDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }
