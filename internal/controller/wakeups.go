package controller

import "time"

// Limits of wake-ups for changes that may wait. When a fleet starts, hundreds of servers a
// second are new; an answer to each watch for each of them would take all of the processor.
const (
	// wakeIntervalPerInstance is the time between two such wake-ups for each entry instance
	// that may be waiting: at most 1,000 answers a second.
	wakeIntervalPerInstance = time.Millisecond
	maxWakeInterval         = 500 * time.Millisecond
)

// wakeUps is when waiting watches were and will be woken. It is guarded by Controller.mu.
type wakeUps struct {
	last time.Time
	// scheduled means that a wake-up will come after the interval.
	scheduled bool
	// publishedServers and publishedPeers are the revisions that the last wake-up told of.
	// Later changes don't end a watch.
	publishedServers, publishedPeers uint64
}

// notifyWatchers wakes the waiting watches. c.mu must be held.
func (c *Controller) notifyWatchers() {
	c.wakeUps = wakeUps{last: time.Now(), publishedServers: c.servers.Revision(), publishedPeers: c.peers.revision}
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyWatchersSoon wakes the waiting watches for a change that may wait until others have
// come: at once if the last wake-up was some time ago. c.mu must be held.
func (c *Controller) notifyWatchersSoon() {
	if c.wakeUps.scheduled {
		return
	}
	interval := min(time.Duration(len(c.peers.instances))*wakeIntervalPerInstance, maxWakeInterval)
	wait := time.Until(c.wakeUps.last.Add(interval))
	if wait <= 0 {
		c.notifyWatchers()
		return
	}
	c.wakeUps.scheduled = true
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.wakeUps.scheduled {
			c.notifyWatchers()
		}
	})
}
