package placer

import "github.com/boragehead/boragehead/internal/registrar"

// Probe is the result of a connection that was tried to a server.
type Probe struct {
	Server  registrar.Server
	Reached bool
}
