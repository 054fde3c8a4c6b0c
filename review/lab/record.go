package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to record.txt and prints the main lines.
type record struct {
	began time.Time

	mu  sync.Mutex
	out *bufio.Writer
	f   *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(f), f: f}, nil
}

// line writes one line with the time at since the start.
func (r *record) line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// event writes one line and prints it.
func (r *record) event(format string, args ...any) {
	now := time.Now()
	fmt.Printf("%8.3f %s\n", now.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.line(now, format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

func (r *record) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.f.Close()
}
