package report

import (
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// cells are the counts summed over all runs, [team][route].
type cells [][]simulation.Cell

// sumCells sums the cells of all runs.
func sumCells(runs []*simulation.Stats) cells {
	sum := make(cells, len(runs[0].Cells))
	for t := range sum {
		sum[t] = make([]simulation.Cell, len(runs[0].Cells[t]))
		for r := range sum[t] {
			for _, stats := range runs {
				addCell(&sum[t][r], &stats.Cells[t][r])
			}
		}
	}
	return sum
}

func addCell(sum, c *simulation.Cell) {
	for p := range c.Offered {
		sum.Offered[p] += c.Offered[p]
		sum.Completed[p] += c.Completed[p]
		sum.OnFirstAttempt[p] += c.OnFirstAttempt[p]
	}
	for i, s := range c.Seconds {
		sum.Seconds[i].Offered += s.Offered
		sum.Seconds[i].Completed += s.Completed
	}
}

// worstTeamShare returns the lowest ratio, over all teams, of completed
// requests to the fair share, between from and to. The result is at most 1. The
// fair share of a team is the sum of its fairShares over all seconds and routes.
func worstTeamShare(c cells, from, to time.Duration) float64 {
	completed := make([]float64, len(c))
	fairTotal := make([]float64, len(c))
	for second := from / time.Second; second < to/time.Second; second++ {
		for route := range c[0] {
			fair := fairShares(c, route, int(second))
			for team := range c {
				completed[team] += float64(c[team][route].Seconds[second].Completed)
				fairTotal[team] += fair[team]
			}
		}
	}
	lowest := 1.0
	for team := range c {
		lowest = min(lowest, ratio(completed[team], fairTotal[team]))
	}
	return lowest
}

// wrongfulShare returns the share of first attempts that failed before the
// disturbance, after the recovery, or during the disturbance on routes where
// the team sent no more than its fair share.
func wrongfulShare(c cells, from, to time.Duration) float64 {
	var offered, onFirstAttempt int
	for route := range c[0] {
		within := withinShare(c, route, from, to)
		for team := range c {
			cell := &c[team][route]
			for _, p := range []int{simulation.Before, simulation.After} {
				offered += cell.Offered[p]
				onFirstAttempt += cell.OnFirstAttempt[p]
			}
			if within[team] {
				offered += cell.Offered[simulation.During]
				onFirstAttempt += cell.OnFirstAttempt[simulation.During]
			}
		}
	}
	return ratio(float64(offered-onFirstAttempt), float64(offered))
}

// withinShare reports which teams sent no more than their fair share in each
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

// fairShares divides the completed requests of one route in one second max-min
// fairly over the teams. No team gets more than it offered.
func fairShares(c cells, route, second int) []float64 {
	fair := make([]float64, len(c))
	order := make([]int, len(c))
	remaining := 0.0
	for team := range c {
		order[team] = team
		remaining += float64(c[team][route].Seconds[second].Completed)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return c[a][route].Seconds[second].Offered - c[b][route].Seconds[second].Offered
	})
	for i, team := range order {
		share := remaining / float64(len(order)-i)
		fair[team] = min(share, float64(c[team][route].Seconds[second].Offered))
		remaining -= fair[team]
	}
	return fair
}
