package main

import (
	"runtime"
	"syscall"
	"time"
)

// sample is one measurement at one size.
type sample struct {
	size  int
	value float64
}

// linearFit is a least-squares line through samples: slope is the growth of the
// value per unit of size, intercept the value at size zero.
type linearFit struct {
	intercept, slope float64
}

// fit returns the least-squares line through the samples.
func fit(samples []sample) linearFit {
	var n, sx, sy, sxx, sxy float64
	for _, s := range samples {
		x := float64(s.size)
		n++
		sx += x
		sy += s.value
		sxx += x * x
		sxy += x * s.value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return linearFit{intercept: (sy - slope*sx) / n, slope: slope}
}

// at returns the fitted value at a size.
func (s linearFit) at(size float64) float64 { return s.intercept + s.slope*size }

// heap returns the size in bytes of the live heap, after a garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu returns the processor time that this process has used, or 0 if it cannot
// be read.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapGrowth measures the heap in bytes used by the result of build at each
// size, and returns the fitted line.
func heapGrowth(sizes []int, build func(size int) any) linearFit {
	var samples []sample
	for _, size := range sizes {
		before := heap()
		kept := build(size)
		samples = append(samples, sample{size, heap() - before})
		runtime.KeepAlive(kept)
	}
	return fit(samples)
}

// cpuPerRun returns the processor time of one call of f, averaged over n calls.
func cpuPerRun(n int, f func(i int)) time.Duration {
	before := cpu()
	for i := range n {
		f(i)
	}
	return (cpu() - before) / time.Duration(n)
}
