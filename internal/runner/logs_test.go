package runner_test

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// logs collects the log output of all tests of the package, at the highest
// verbosity, so that tests can search it.
var logs = &logBuffer{}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// TestMain redirects the log output to logs.
func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"v": "5", "logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(err)
		}
	}
	klog.SetOutput(logs)
	os.Exit(m.Run())
}
