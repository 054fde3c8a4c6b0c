// Package logging writes the structured log of a process without blocking
// requests.
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
	// queueLines bounds the number of queued lines: about one second of log lines
	// of a daemon that rejects every request.
	queueLines = 4096
	// reportInterval is the time between two lines about dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds how long Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to another writer in its own goroutine.
// While the queue is full, it drops new lines and counts them.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: the goroutine of w writes
// each line as soon as the output accepts it.
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

// write writes one line to the output. Failed writes are only counted, because
// there is nowhere else to report them.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// Close ends the goroutine after the queued lines are written. It waits for the
// end of the goroutine, for at most closeTimeout. It never fails.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// New returns a logger that writes JSON lines to w. While lines are dropped, it
// logs their number every reportInterval.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level))
	go w.report(log)
	return log
}

// report logs the number of lines that were dropped since its last message, every
// reportInterval, if there are any.
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
