package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Table writes a header and one row per summary.
func Table(w io.Writer, rows []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "deployment\tscenario\tversion\tgoodput/s\tsettled/s\trecovery\ttail\tworst team\twrongful\twasted\tretries\tmax extra\tcold violations\tunseen\tserved critical..low\t")
	if err != nil {
		return err
	}
	for _, r := range rows {
		_, err = fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%.0f\t%s\t%.3f\t%.3f\t%.4f\t%.3f\t%.3f\t%d\t%d\t%d\t%.2f\t\n",
			r.Deployment, r.Scenario, r.Variant, r.Goodput, r.Settled, formatRecovery(r.Recovery), r.AfterRecovery,
			r.WorstTeam, r.Wrongful, r.Wasted, r.Retries, r.MaxExtraAttempts, r.Violations, r.Undetectable, r.Served)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// formatRecovery formats a recovery time in seconds.
func formatRecovery(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", s)
}

// JSON writes the summaries to a file.
func JSON(path string, rows []Summary) error {
	b, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
