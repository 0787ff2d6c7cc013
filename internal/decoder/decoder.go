// Package decoder decodes the CBOR that processes store and that they send each other.
package decoder

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds a list or a map. It is far above what processes hold; the default of
// the codec is not.
const maxElements = 1 << 24

var (
	storedMode  = newMode(cbor.UTF8RejectInvalid)
	messageMode = newMode(cbor.UTF8DecodeInvalid)
)

func newMode(texts cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: min(maxElements, math.MaxInt32), UTF8: texts}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Stored decodes replicated or stored state. Texts must be UTF-8, as in all releases: state
// machines must not differ in which entries they apply.
func Stored(data []byte, value any) error {
	return storedMode.Unmarshal(data, value)
}

// Message decodes what another process has sent. Texts need not be UTF-8, so that one odd text
// does not make a whole message unreadable.
func Message(data []byte, value any) error {
	return messageMode.Unmarshal(data, value)
}
