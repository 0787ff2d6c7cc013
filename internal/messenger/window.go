package messenger

import (
	"context"
	"time"
)

// Window sends messages to one process without waiting for the answer to each:
// the round trip between regions takes longer than the interval between two
// messages. Limit and Timeout must be set. It is not safe for concurrent use.
type Window struct {
	// Limit is how many messages may be unanswered, and Timeout for how long
	// one may be, before the connection is closed.
	Limit   int
	Timeout time.Duration
	pending []pendingCall
}

// pendingCall is a message that has not been answered yet.
type pendingCall struct {
	done      <-chan struct{}
	startedAt time.Time
}

// SendWindowed sends one message through a window. It reports no errors: the
// message may be lost.
func SendWindowed[Q any](ctx context.Context, w *Window, client *Client, to Endpoint, method string, query Q) {
	w.prune(client, to)
	dialCtx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	if done, err := StartCall(dialCtx, client, to, method, query); err == nil {
		w.pending = append(w.pending, pendingCall{done: done, startedAt: time.Now()})
	}
}

// prune removes answered messages from the front of the window. If the oldest
// one left is overdue, or too many are unanswered, it closes the connection and
// empties the window.
func (w *Window) prune(client *Client, to Endpoint) {
	for len(w.pending) > 0 {
		select {
		case <-w.pending[0].done:
			w.pending = w.pending[1:]
			continue
		default:
		}
		if len(w.pending) >= w.Limit || time.Since(w.pending[0].startedAt) >= w.Timeout {
			client.Reset(to)
			w.pending = nil
		}
		return
	}
}
