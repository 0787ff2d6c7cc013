package registrar

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/boragehead/boragehead/internal/decoder"
)

// List is a list of servers in the form in which processes exchange it. An entry that
// cannot be decoded becomes a zero Server, and the others hold.
type List []Server

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *List) UnmarshalCBOR(data []byte) error {
	var entries []cbor.RawMessage
	if err := decoder.Message(data, &entries); err != nil {
		return err
	}
	*l = make(List, 0, len(entries))
	for _, entry := range entries {
		var server Server
		if decoder.Message(entry, &server) != nil {
			server = Server{}
		}
		*l = append(*l, server)
	}
	return nil
}

// Valid returns the entries that pass Server.Check by the clock of the process that has sent
// them, which may be ahead by MaxClockError. It calls skipped for each other one, with the
// beginning of its name and the error.
func (l List) Valid(now time.Time, skipped func(name string, err error)) List {
	valid := make(List, 0, len(l))
	for _, server := range l {
		if err := server.Check(now.Add(MaxClockError)); err != nil {
			skipped(strings.ToValidUTF8(server.Name[:min(len(server.Name), MaxTextBytes)], "?"), err)
			continue
		}
		valid = append(valid, server)
	}
	return valid
}
