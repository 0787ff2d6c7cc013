package decoder

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func encode(t *testing.T, value any) []byte {
	data, err := cbor.Marshal(value)
	assert.NilError(t, err)
	return data
}

// TestOddTextMakesMessageUnreadable decodes a text that is not UTF-8 beside others.
func TestOddTextMakesMessageUnreadable(t *testing.T) {
	texts := []string{"sound", "\xff", "also sound"}
	var decoded []string
	assert.NilError(t, Message(encode(t, texts), &decoded))
	assert.DeepEqual(t, decoded, texts)
	assert.ErrorContains(t, Stored(encode(t, texts), &decoded), "UTF-8")
}

// TestLongListIsReadable decodes lists and maps that are longer than the codec's default
// limit.
func TestLongListIsReadable(t *testing.T) {
	const count = 300_000
	list, byNumber := make([]int, count), map[int]bool{}
	for i := range list {
		byNumber[i] = true
	}
	for _, decode := range []func([]byte, any) error{Stored, Message} {
		var decodedList []int
		assert.NilError(t, decode(encode(t, list), &decodedList))
		assert.Equal(t, len(decodedList), count)
		var decodedMap map[int]bool
		assert.NilError(t, decode(encode(t, byNumber), &decodedMap))
		assert.Equal(t, len(decodedMap), count)
	}
}

// TestHostileInputEndsInError decodes what is nested very deeply, or says that it is much
// longer than it is.
func TestHostileInputEndsInError(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"nested arrays", bytes.Repeat([]byte{0x81}, 1<<20)},
		{"nested maps", bytes.Repeat([]byte{0xa1, 0x00}, 1<<20)},
		{"nested tags", bytes.Repeat([]byte{0xc1}, 1<<20)},
		{"nested without length", bytes.Repeat([]byte{0x9f}, 1<<20)},
		{"array of 2^63", []byte{0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0}},
		{"text of 2^62", []byte{0x7b, 0x40, 0, 0, 0, 0, 0, 0, 0}},
		{"cut off", []byte{0x82, 0x01}},
		{"more after it", []byte{0x01, 0x02}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var value any
			assert.Assert(t, Stored(test.data, &value) != nil)
			assert.Assert(t, Message(test.data, &value) != nil)
		})
	}
}
