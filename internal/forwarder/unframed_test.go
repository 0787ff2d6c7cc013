package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/detector"
)

// TestUnframedAnswerIsNotSound guards against clearing a culprit: a server that
// crashes after the first event of a stream without length or chunks closes the
// connection in order, as if the stream were complete.
func TestUnframedAnswerIsNotSound(t *testing.T) {
	t.Parallel()
	q := &fixedQuarantine{}
	const stream = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	g := quarantineGateway(t, q, definer.Route{Kind: definer.KindStream, Attempts: 1}, respondRaw(stream))
	status, _, err := g.do("POST", "/a", "x", "Parts", "1 2")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	time.Sleep(detector.SoundAfter + 300*time.Millisecond)
	_, begins := q.counts()
	assert.Equal(t, begins, 0)
}
