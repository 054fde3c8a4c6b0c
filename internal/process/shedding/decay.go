package shedding

import (
	"math"
	"time"
)

// decayFactor returns the factor by which exponential decay reduces a count
// over the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
