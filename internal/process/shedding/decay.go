package shedding

import (
	"math"
	"time"
)

// halved returns what is left of a count after some time.
func halved(passed, halfLife time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / halfLife.Seconds())
}
