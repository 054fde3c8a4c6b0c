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

// slope is the growth of a value with the size, by least squares, and the
// value at size zero.
type slope struct {
	base, each float64
}

func fit(samples []sample) slope {
	var n, sx, sy, sxx, sxy float64
	for _, s := range samples {
		x := float64(s.size)
		n++
		sx += x
		sy += s.value
		sxx += x * x
		sxy += x * s.value
	}
	each := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope{base: (sy - each*sx) / n, each: each}
}

// at returns the value at a size.
func (s slope) at(size float64) float64 { return s.base + s.each*size }

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapSlope measures the heap that build's result holds at each size.
func heapSlope(sizes []int, build func(size int) any) slope {
	var samples []sample
	for _, size := range sizes {
		before := heap()
		kept := build(size)
		samples = append(samples, sample{size, heap() - before})
		runtime.KeepAlive(kept)
	}
	return fit(samples)
}

// perRun returns the processor time of one run of f, over n runs.
func perRun(n int, f func(i int)) time.Duration {
	before := cpu()
	for i := range n {
		f(i)
	}
	return (cpu() - before) / time.Duration(n)
}
