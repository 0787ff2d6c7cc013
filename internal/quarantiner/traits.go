package quarantiner

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Traits are what a request has that may crash servers.
type Traits struct {
	// Request identifies the request together with its repetitions; 0 if that is not
	// known.
	Request uint64
	// Parts are the parts of its prompt that other requests may have, too.
	Parts []uint64
}

// each calls visit with every trait.
func (t Traits) each(visit func(id uint64, isRequest bool)) {
	if t.Request != 0 {
		visit(t.Request, true)
	}
	for _, id := range t.Parts {
		visit(id, false)
	}
}

// PartNames returns the ids of the parts as callers write them, in hexadecimal.
func (t Traits) PartNames() string {
	names := make([]string, 0, len(t.Parts))
	for _, part := range t.Parts {
		names = append(names, HashName(part))
	}
	return strings.Join(names, ",")
}

// HashName returns the hash of a request or the id of a part as log lines show it, in
// hexadecimal.
func HashName(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}

// HashRequest returns the hash of what makes two requests the same one: their fields, such
// as method and path, and the body.
func HashRequest(body []byte, fields ...string) uint64 {
	digest := xxhash.New()
	for _, field := range fields {
		writeField(digest, []byte(field))
	}
	writeField(digest, body)
	return digest.Sum64()
}

// writeField adds a field with its length, so that no two lists of fields are the same.
func writeField(digest *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:]) // never fails
	_, _ = digest.Write(field)
}
