package controller

import (
	"time"

	"github.com/boragehead/boragehead/internal/conductor"
)

// neverConfirmed is the age of a state that was never known to be the newest.
const neverConfirmed = 24 * time.Hour

// stateAge returns how long ago a state was last known to be the newest.
func stateAge(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return neverConfirmed
	}
	return min(conductor.Elapsed(confirmed, time.Now()), neverConfirmed)
}
