// Package compressor shortens documents for transfer to a process that may have
// an earlier version of them.
package compressor

import (
	"errors"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// Errors of Decompress.
var (
	// ErrMismatch means that compressed data does not restore the document that it
	// was made from, for instance because the base is another one.
	ErrMismatch = errors.New("compressed document does not match its checksum")
	// ErrTooLarge means that a document is larger than its receiver allows.
	ErrTooLarge = errors.New("compressed document is too large")
)

// Compressed is a document in compressed form.
type Compressed struct {
	// BaseHash identifies the base that restores the document; 0 if it needs none.
	BaseHash uint64 `cbor:"b,omitempty"`
	// Size and Hash are those of the document.
	Size int    `cbor:"s"`
	Hash uint64 `cbor:"h"`
	Data []byte `cbor:"d"`
}

// dictionaryID marks data that needs a base. Any constant will do: Compressed
// names the base.
const dictionaryID = 1

// maxWindowBytes bounds the memory in which repetitions are found.
const maxWindowBytes = 32 << 20

// minDecoderBytes is the least memory that the decoder accepts for any document.
const minDecoderBytes = 1 << 10

// Hash identifies a document.
func Hash(document []byte) uint64 {
	return xxhash.Sum64(document)
}

// HashName returns the Hash of a document as log lines show it, in hexadecimal.
func HashName(document []byte) string {
	return strconv.FormatUint(Hash(document), 16)
}

// Compress compresses a document. With a base that is not empty, the result holds
// little more than what differs from it.
func Compress(document, base []byte) (Compressed, error) {
	window := 1 << bits.Len(uint(max(len(document)+len(base), zstd.MinWindowSize)))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(min(window, maxWindowBytes)),
	}
	compressed := Compressed{Size: len(document), Hash: Hash(document)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
		compressed.BaseHash = Hash(base)
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Compressed{}, trace.Wrap(err)
	}
	compressed.Data = encoder.EncodeAll(document, nil)
	return compressed, trace.Wrap(encoder.Close())
}

// Decompress restores a document of at most maxSize bytes. The base must be the one
// that BaseHash identifies. Errors wrap ErrMismatch or ErrTooLarge, or say why the
// data cannot be read.
func Decompress(compressed Compressed, base []byte, maxSize int) ([]byte, error) {
	if compressed.Size < 0 || compressed.Size > maxSize {
		return nil, trace.Wrap(ErrTooLarge, "%d bytes of at most %d", compressed.Size, maxSize)
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(compressed.Size, minDecoderBytes))),
		zstd.WithDecoderMaxWindow(2 * maxWindowBytes),
	}
	if compressed.BaseHash != 0 {
		if Hash(base) != compressed.BaseHash {
			return nil, trace.Wrap(ErrMismatch, "base has hash %x, not %x", Hash(base), compressed.BaseHash)
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(compressed.Data, make([]byte, 0, compressed.Size))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(document) != compressed.Size || Hash(document) != compressed.Hash {
		return nil, trace.Wrap(ErrMismatch, "%d bytes restored of %d", len(document), compressed.Size)
	}
	return document, nil
}
