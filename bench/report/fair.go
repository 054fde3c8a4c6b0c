package report

import (
	"slices"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// sumCells adds the cells of all runs up.
func sumCells(runs []*simulation.Figures) [][]simulation.Cell {
	sum := make([][]simulation.Cell, len(runs[0].Cells))
	for t := range sum {
		sum[t] = make([]simulation.Cell, len(runs[0].Cells[t]))
		for r := range sum[t] {
			for _, f := range runs {
				add(&sum[t][r], f.Cells[t][r])
			}
		}
	}
	return sum
}

func add(sum *simulation.Cell, c simulation.Cell) {
	for p := range c.Offered {
		sum.Offered[p] += c.Offered[p]
		sum.Done[p] += c.Done[p]
		sum.Prompt[p] += c.Prompt[p]
	}
}

// worst is the least part of its fair share that any team got during the
// disturbance. On each route, what was answered in all is divided max-min over
// the teams that asked.
func worst(cells [][]simulation.Cell) float64 {
	fair := fairShares(cells)
	least := 1.0
	for t := range cells {
		var got, due float64
		for r, c := range cells[t] {
			got += float64(c.Done[simulation.During])
			due += fair[t][r]
		}
		least = min(least, ratio(got, due))
	}
	return least
}

// wrongful is the part of first attempts that failed before the disturbance,
// after the recovery, or during it on routes where the team asked for no more
// than its fair share.
func wrongful(cells [][]simulation.Cell) float64 {
	fair := fairShares(cells)
	var offered, prompt int
	for t := range cells {
		for r, c := range cells[t] {
			for _, p := range []int{simulation.Before, simulation.After} {
				offered += c.Offered[p]
				prompt += c.Prompt[p]
			}
			if float64(c.Offered[simulation.During]) <= fair[t][r] {
				offered += c.Offered[simulation.During]
				prompt += c.Prompt[simulation.During]
			}
		}
	}
	return ratio(float64(offered-prompt), float64(offered))
}

// fairShares divides what was answered on each route during the disturbance.
func fairShares(cells [][]simulation.Cell) [][]float64 {
	fair := make([][]float64, len(cells))
	for t := range fair {
		fair[t] = make([]float64, len(cells[t]))
	}
	for r := range cells[0] {
		divide(cells, fair, r)
	}
	return fair
}

func divide(cells [][]simulation.Cell, fair [][]float64, route int) {
	room := 0.0
	order := make([]int, len(cells))
	for t := range cells {
		order[t] = t
		room += float64(cells[t][route].Done[simulation.During])
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cells[a][route].Offered[simulation.During] - cells[b][route].Offered[simulation.During]
	})
	for i, t := range order {
		share := room / float64(len(order)-i)
		fair[t][route] = min(share, float64(cells[t][route].Offered[simulation.During]))
		room -= fair[t][route]
	}
}
