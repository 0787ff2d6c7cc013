// Package logger writes the structured log lines of a process without blocking the
// goroutines that log. Lines pass through a bounded ring buffer to a single writer
// goroutine and are dropped when it is full. Frequent lines are rate-limited by
// kind.
package logger

import (
	"context"
	"flag"
	"io"
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/carrier"
)

// Limits of the ring buffer and of each kind of line.
const (
	// ringSize is the maximum number of lines that wait to be written.
	ringSize = 2048
	// kindRate is the sustained rate of one kind in lines per second, and kindBurst
	// the number of lines that may exceed it at once.
	kindRate  = 50
	kindBurst = 200
	// maxStandardLineBytes bounds a line of the log package. It leaves room for the
	// stack of a panic.
	maxStandardLineBytes = 4 << 10
)

// Logger writes klog's lines to an io.Writer from the goroutine that calls Run.
type Logger struct {
	ring    *carrier.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

// Start redirects the output of klog and of the log package, which are global to the
// process, to a new Logger.
// Lines are buffered until Run is called.
func Start(out io.Writer) *Logger {
	l := &Logger{ring: carrier.NewRing[[]byte](ringSize), out: out}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // these flags exist and take these values
	}
	klog.SetOutput(l)
	log.SetFlags(0)
	log.SetOutput(&standardLog{})
	return l
}

// standardLog passes lines of the log package on to klog. net/http quotes in them
// what servers and callers have sent.
type standardLog struct {
	limiter RateLimiter
}

// Write implements io.Writer.
func (s *standardLog) Write(line []byte) (int, error) {
	if leftOut, ok := s.limiter.Allow(time.Now()); ok {
		klog.InfoS("standard log", "line", string(line[:min(len(line), maxStandardLineBytes)]), "left-out", leftOut)
	}
	return len(line), nil
}

// Write implements io.Writer. It never blocks or fails: if the ring buffer is
// full, the line is dropped and counted. It is safe for concurrent use.
func (l *Logger) Write(line []byte) (int, error) {
	if l.ring.TryPut(append([]byte(nil), line...)) != nil {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, then those still in the ring buffer. It
// logs the number of dropped lines after the next line that it writes, and always
// returns nil.
func (l *Logger) Run(ctx context.Context) error {
	for {
		line, err := l.ring.Take(ctx)
		if err != nil {
			l.writeBuffered()
			return nil
		}
		_, _ = l.out.Write(line) // there is no other place to report that the log cannot be written
		if dropped := l.dropped.Swap(0); dropped > 0 {
			klog.InfoS("log lines dropped: writing was too slow", "count", dropped)
		}
	}
}

func (l *Logger) writeBuffered() {
	for {
		select {
		case line := <-l.ring.Items():
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// maxErrorBytes bounds the text of an error, which may quote what was received.
const maxErrorBytes = 2 << 10

// ErrorText formats an error as a single line for the log, of bounded length. It returns ""
// for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	var parts []string
	for line := range strings.Lines(trace.UserMessage(err)) {
		if line = strings.TrimSpace(line); line != "" {
			parts = append(parts, line)
		}
	}
	text := strings.Join(parts, ": ")
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return text
}

// RateLimiter is a token-bucket rate limiter for log lines of one kind. The zero
// value is ready to use, and it is safe for concurrent use.
type RateLimiter struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	suppressed int
}

// Allow reports whether a line may be written now. If so, leftOut is the number of
// lines of this kind that were suppressed since the last one that was allowed.
func (r *RateLimiter) Allow(now time.Time) (leftOut int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastRefill.IsZero() {
		r.tokens = kindBurst
	} else {
		r.tokens = min(r.tokens+now.Sub(r.lastRefill).Seconds()*kindRate, kindBurst)
	}
	r.lastRefill = now
	if r.tokens < 1 {
		r.suppressed++
		return 0, false
	}
	r.tokens--
	leftOut, r.suppressed = r.suppressed, 0
	return leftOut, true
}
