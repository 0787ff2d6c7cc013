package registrar

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// ErrInvalid means that an announcement cannot be that of a server.
var ErrInvalid = errors.New("invalid server")

// Limits of what a server announces.
const (
	// MaxTextBytes bounds names, which go into the datagrams of beacons and into headers.
	MaxTextBytes = 256
	// MaxClockError is how far the clocks of two machines may be apart. They may be
	// stepped by seconds.
	MaxClockError = time.Minute
	maxSlots      = 1 << 20
	// maxAnnounced bounds the durations that a server announces.
	maxAnnounced = 24 * time.Hour
)

// Check returns an error that wraps ErrInvalid and names the field if no server can
// announce this. Of servers that are gone, it checks what identifies them.
func (s Server) Check(now time.Time) error {
	if err := s.checkIdentity(now); err != nil {
		return err
	}
	if s.State == StateGone {
		return nil
	}
	if s.Service == "" || s.FailureDomain == "" {
		return invalid("service and failure domain must be set")
	}
	if err := CheckAddress(s.Address); err != nil {
		return err
	}
	switch {
	case s.Slots < 0 || s.Slots > maxSlots:
		return invalid("%d slots are not between 0 and %d", s.Slots, maxSlots)
	case s.Warmup < 0 || s.Warmup > maxAnnounced:
		return invalid("warm-up of %v is not between 0 and %v", s.Warmup, maxAnnounced)
	case s.Remaining < 0 || s.Remaining > maxAnnounced:
		return invalid("remaining time of %v is not between 0 and %v", s.Remaining, maxAnnounced)
	}
	return nil
}

// checkIdentity checks the texts and what orders the announcements of a server.
func (s Server) checkIdentity(now time.Time) error {
	if s.Name == "" {
		return invalid("name must be set")
	}
	texts := []struct{ field, text string }{
		{"name", s.Name}, {"service", s.Service}, {"failure domain", s.FailureDomain}, {"version", s.Version},
	}
	for _, t := range texts {
		if err := CheckText(t.field, t.text); err != nil {
			return err
		}
	}
	switch {
	case s.State > StateGone:
		return invalid("state %d is not known", s.State)
	case s.Age < 0:
		return invalid("age of %v is below 0", s.Age)
	}
	if err := CheckStart(now, s.StartedAtMillis); err != nil {
		return err
	}
	// A counter that no server can have reached would make its later announcements stale.
	if possible := now.Add(MaxClockError).UnixMilli() - s.StartedAtMillis; s.Counter > uint64(possible) {
		return invalid("counter %d is more than one announcement a millisecond since the start", s.Counter)
	}
	return nil
}

// CheckStart returns an error that wraps ErrInvalid if no server can have started at a
// time, in milliseconds of Unix time: later than now, or before 1970. 0 stands for a start
// that is not known.
func CheckStart(now time.Time, startedAtMillis int64) error {
	if startedAtMillis < 0 || startedAtMillis > now.Add(MaxClockError).UnixMilli() {
		return invalid("start at %d ms of Unix time is in the future or below 0", startedAtMillis)
	}
	return nil
}

// CheckText returns an error that wraps ErrInvalid if a text is too long for a name, is
// not UTF-8, or has control characters. The codec of the processes' messages refuses what is
// not UTF-8.
func CheckText(field, text string) error {
	switch {
	case len(text) > MaxTextBytes:
		return invalid("%s: %d bytes are more than %d", field, len(text), MaxTextBytes)
	case !utf8.ValidString(text):
		return invalid("%s: not UTF-8", field)
	case strings.ContainsFunc(text, unicode.IsControl):
		return invalid("%s: has control characters", field)
	}
	return nil
}

// CheckAddress returns an error that wraps ErrInvalid if connections cannot be opened to an
// address.
func CheckAddress(address netip.AddrPort) error {
	addr := address.Addr()
	switch {
	case !addr.IsValid() || address.Port() == 0:
		return invalid("address: needs an IP address and a port")
	case addr.IsUnspecified(), addr.IsMulticast(), addr == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return invalid("address: %s is not that of one machine", address)
	case addr.Zone() != "" || addr.Is4In6():
		return invalid("address: zones and IPv4-mapped addresses are not used")
	}
	return nil
}

// invalid returns an error that wraps ErrInvalid with a formatted description.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}
