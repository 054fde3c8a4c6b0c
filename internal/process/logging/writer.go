// Package logging writes the structured log of a process without ever holding
// a request up.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written: about a second of
	// refusals of a daemon that refuses everything.
	queueLines = 4096
	// reportInterval is the time between two lines about dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds writing what waits when the process ends.
	closeTimeout = 200 * time.Millisecond
)

// Writer hands lines to another writer from a goroutine of its own. Where too
// many wait it drops lines and counts them.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts writing to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are never held back.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closed:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write counts what the output refuses: there is no other place to say so.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// Close writes what waits, for a short time at most.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// New returns a logger of JSON lines to w. A line about dropped lines follows
// where some were.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level))
	go w.report(log)
	return log
}

// report says from time to time how many lines were dropped.
func (w *Writer) report(log *zap.Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := uint64(0)
	for {
		select {
		case <-w.closed:
			return
		case <-ticker.C:
		}
		if dropped := w.dropped.Load(); dropped != last {
			log.Warn("log lines dropped", zap.Uint64("lines", dropped-last), zap.Uint64("since_start", dropped))
			last = dropped
		}
	}
}
