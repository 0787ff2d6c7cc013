package sender

import (
	"context"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// waitingRequest is a request that waits for a server.
type waitingRequest struct {
	workspace string
	cancel    context.CancelFunc
}

// trackWaiting returns a context that CancelWaiting cancels, and a function that
// must be called when the wait ends.
func (s *Sender) trackWaiting(ctx context.Context, x *exchanger.Exchange) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	request := &waitingRequest{workspace: x.Workspace.Name, cancel: cancel}
	s.mu.Lock()
	s.waiting[request] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.waiting, request)
		s.mu.Unlock()
		cancel()
	}
}

// CancelWaiting takes the requests of the workspaces for which elsewhere returns
// true out of the queue, so that they are checked again, and refused, at once. It
// should be called after every change of the configuration.
func (s *Sender) CancelWaiting(elsewhere func(workspace string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.waiting {
		if elsewhere(request.workspace) {
			request.cancel()
		}
	}
}
