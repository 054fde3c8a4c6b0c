package main

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// barScale is the number of characters of a bar for a difference of 0.1.
const barScale = 20

func printHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-22s %7s %7s %8s %17s\n", "variant", "worth", "served", "without", "least, greatest")
}

// printRow prints the mean figures of a variant, the difference in worth to the unchanged
// code, and the least and the greatest difference of a day.
func printRow(w io.Writer, base, r result) {
	worth, served := mean(r.plays, func(p play) float64 { return p.Worth }), mean(r.plays, func(p play) float64 { return p.Served })
	least, greatest, sum := math.Inf(1), math.Inf(-1), 0.0
	for i, p := range r.plays {
		d := p.Worth - base.plays[i].Worth
		least, greatest, sum = min(least, d), max(greatest, d), sum+d
	}
	difference := sum / float64(len(r.plays))
	_, _ = fmt.Fprintf(w, "%-22s %7.3f %7.3f %+8.3f %+8.3f %+8.3f %s%s\n", nameOf(r.variant), worth, served, difference, least, greatest, bar(difference), broken(r.plays))
}

func mean(plays []play, figure func(play) float64) float64 {
	sum := 0.0
	for _, p := range plays {
		sum += figure(p)
	}
	return sum / float64(len(plays))
}

// bar shows a difference: to the left of | for a loss.
func bar(difference float64) string {
	n := min(int(math.Round(math.Abs(difference)*10*barScale)), barScale)
	if difference < 0 {
		return strings.Repeat(" ", barScale-n) + strings.Repeat("#", n) + "|"
	}
	return strings.Repeat(" ", barScale) + "|" + strings.Repeat("#", n)
}

// broken names the rules that the days broke.
func broken(plays []play) string {
	text := ""
	for _, p := range plays {
		for rule := range p.Rules {
			text += fmt.Sprintf(" %s broke %s", p.day, rule)
		}
	}
	return text
}
