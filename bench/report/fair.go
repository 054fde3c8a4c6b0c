package report

import (
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// cells are the counts of all runs, [team][route].
type cells [][]simulation.Cell

// sumCells adds the cells of all runs up.
func sumCells(runs []*simulation.Figures) cells {
	sum := make(cells, len(runs[0].Cells))
	for t := range sum {
		sum[t] = make([]simulation.Cell, len(runs[0].Cells[t]))
		for r := range sum[t] {
			for _, f := range runs {
				add(&sum[t][r], &f.Cells[t][r])
			}
		}
	}
	return sum
}

func add(sum, c *simulation.Cell) {
	for p := range c.Offered {
		sum.Offered[p] += c.Offered[p]
		sum.Done[p] += c.Done[p]
		sum.Prompt[p] += c.Prompt[p]
	}
	for i, s := range c.Seconds {
		sum.Seconds[i].Offered += s.Offered
		sum.Seconds[i].Done += s.Done
	}
}

// worst is the least part of its fair share that any team got from from to to.
// In each second and on each route, what was answered in all is divided max-min
// over the teams that asked.
func worst(c cells, from, to time.Duration) float64 {
	got := make([]float64, len(c))
	due := make([]float64, len(c))
	for second := from / time.Second; second < to/time.Second; second++ {
		for route := range c[0] {
			fair := fairShares(c, route, int(second))
			for team := range c {
				got[team] += float64(c[team][route].Seconds[second].Done)
				due[team] += fair[team]
			}
		}
	}
	least := 1.0
	for team := range c {
		least = min(least, ratio(got[team], due[team]))
	}
	return least
}

// wrongful is the part of first attempts that failed before the disturbance,
// after the recovery, or during it on routes where the team asked for no more
// than its fair share.
func wrongful(c cells, from, to time.Duration) float64 {
	var offered, prompt int
	for route := range c[0] {
		within := withinShare(c, route, from, to)
		for team := range c {
			cell := &c[team][route]
			for _, p := range []int{simulation.Before, simulation.After} {
				offered += cell.Offered[p]
				prompt += cell.Prompt[p]
			}
			if within[team] {
				offered += cell.Offered[simulation.During]
				prompt += cell.Prompt[simulation.During]
			}
		}
	}
	return ratio(float64(offered-prompt), float64(offered))
}

// withinShare tells which teams asked for no more than their fair share in each
// second of the disturbance.
func withinShare(c cells, route int, from, to time.Duration) []bool {
	within := make([]bool, len(c))
	for team := range within {
		within[team] = true
	}
	for second := from / time.Second; second < to/time.Second; second++ {
		fair := fairShares(c, route, int(second))
		for team := range c {
			if float64(c[team][route].Seconds[second].Offered) > fair[team] {
				within[team] = false
			}
		}
	}
	return within
}

// fairShares divides what was answered on one route in one second.
func fairShares(c cells, route, second int) []float64 {
	fair := make([]float64, len(c))
	order := make([]int, len(c))
	room := 0.0
	for team := range c {
		order[team] = team
		room += float64(c[team][route].Seconds[second].Done)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return c[a][route].Seconds[second].Offered - c[b][route].Seconds[second].Offered
	})
	for i, team := range order {
		share := room / float64(len(order)-i)
		fair[team] = min(share, float64(c[team][route].Seconds[second].Offered))
		room -= fair[team]
	}
	return fair
}
