// Package logger writes the structured log lines of a process without ever
// making it wait: lines go through a bounded ring to one writing goroutine, and
// each kind of line has a rate.
package logger

import (
	"context"
	"flag"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
)

// The bounds of what waits to be written, and of each kind of line.
const (
	ringSize = 2048
	// kindRate and kindBurst bound the lines of one kind.
	kindRate  = 50
	kindBurst = 200
)

// Logger sends klog's lines to a writer.
type Logger struct {
	ring *carrier.Ring[[]byte]
	out  io.Writer
	lost atomic.Int64
}

// Start makes klog write through a bounded ring. Run must be called to write.
func Start(out io.Writer) *Logger {
	l := &Logger{ring: carrier.NewRing[[]byte](ringSize), out: out}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // these flags exist and take these values
	}
	klog.SetOutput(l)
	return l
}

// Write implements io.Writer. A line that finds the ring full is counted and
// dropped.
func (l *Logger) Write(line []byte) (int, error) {
	if l.ring.Offer(append([]byte(nil), line...)) != nil {
		l.lost.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends and the ring is empty.
func (l *Logger) Run(ctx context.Context) error {
	for {
		line, err := l.ring.Take(ctx)
		if err != nil {
			l.drain()
			return nil
		}
		_, _ = l.out.Write(line) // a log that cannot be written has no other place to say so
		if lost := l.lost.Swap(0); lost > 0 {
			klog.InfoS("log lines dropped: writing was too slow", "count", lost)
		}
	}
}

func (l *Logger) drain() {
	for {
		select {
		case line := <-l.ring.Items():
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Reason returns an error as one line for a log, or nothing for none.
func Reason(err error) string {
	if err == nil {
		return ""
	}
	var parts []string
	for line := range strings.Lines(trace.UserMessage(err)) {
		if line = strings.TrimSpace(line); line != "" {
			parts = append(parts, line)
		}
	}
	return strings.Join(parts, ": ")
}

// Kind bounds the lines of one kind. The zero value is ready to use.
type Kind struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
	left   int
}

// Allow reports whether a line may be written now, and how many of this kind
// were left out since the last one.
func (k *Kind) Allow(now time.Time) (leftOut int, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.filled.IsZero() {
		k.tokens = kindBurst
	} else {
		k.tokens = min(k.tokens+now.Sub(k.filled).Seconds()*kindRate, kindBurst)
	}
	k.filled = now
	if k.tokens < 1 {
		k.left++
		return 0, false
	}
	k.tokens--
	leftOut, k.left = k.left, 0
	return leftOut, true
}
