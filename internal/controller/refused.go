package controller

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/logger"
)

// RefuseServer records that an announcement or a departure cannot be that of a server.
func (c *Controller) RefuseServer(name string, cause error) {
	if c.metrics != nil {
		c.metrics.Count("invalid-servers")
	}
	if leftOut, ok := c.refusedLogged.Allow(time.Now()); ok {
		klog.InfoS("invalid server refused", "server", name, "err", logger.ErrorText(cause), "left-out", leftOut)
	}
}
