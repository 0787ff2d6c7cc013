package messenger

import (
	"context"
	"time"
)

// Window sends messages to one process without waiting for each: the round trip
// between regions is longer than the time between two messages. The zero value
// must be given a Limit and a Patience.
type Window struct {
	// Limit is how many messages may be under way, and Patience for how long one
	// may be, before the connection is given up.
	Limit    int
	Patience time.Duration
	sent     []sent
}

// sent is a message whose delivery has not been confirmed.
type sent struct {
	ended <-chan struct{}
	since time.Time
}

// SendThrough sends one message through a window. It may be lost.
func SendThrough[Q any](ctx context.Context, w *Window, client *Client, to Endpoint, method string, query Q) {
	w.confirm(client, to)
	dial, cancel := context.WithTimeout(ctx, w.Patience)
	defer cancel()
	if ended, err := Post(dial, client, to, method, query); err == nil {
		w.sent = append(w.sent, sent{ended: ended, since: time.Now()})
	}
}

// confirm drops delivered messages. When the oldest is overdue, or too many are
// under way, the connection is given up.
func (w *Window) confirm(client *Client, to Endpoint) {
	for len(w.sent) > 0 {
		select {
		case <-w.sent[0].ended:
			w.sent = w.sent[1:]
			continue
		default:
		}
		if len(w.sent) >= w.Limit || time.Since(w.sent[0].since) >= w.Patience {
			client.Reset(to)
			w.sent = nil
		}
		return
	}
}
