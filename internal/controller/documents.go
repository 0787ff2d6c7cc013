package controller

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/compressor"
	"github.com/boragehead/boragehead/internal/definer"
)

// MethodDocument is the call with which an entry instance fetches the current
// definition. It takes a DocumentQuery and returns a DocumentAnswer.
const MethodDocument = "state-document"

// DocumentQuery asks for the current definition.
type DocumentQuery struct {
	// BaseHash is the compressor.Hash of the document that the entry instance has;
	// 0 if it has none.
	BaseHash uint64 `cbor:"b,omitempty"`
}

// DocumentAnswer carries the current definition.
type DocumentAnswer struct {
	// State is the current state, without its document.
	State State `cbor:"s"`
	// Document restores the document. Its base is the document of the query or
	// none.
	Document compressor.Compressed `cbor:"d"`
}

// Bounds of documentCache.
const (
	// maxCachedDocuments is how many of the last documents can serve as bases.
	maxCachedDocuments = 4
	// maxCachedBytes bounds their sum. The newest one is kept in any case.
	maxCachedBytes = 32 << 20
)

// documentCache holds the last documents, and the newest one compressed relative
// to each of them. The zero value is empty. It is safe for concurrent use.
type documentCache struct {
	mu sync.Mutex
	// documents are the last documents; the newest is last.
	documents []cachedDocument
	// compressedByBase holds the newest document by the hash of its base.
	compressedByBase map[uint64]compressor.Compressed
}

type cachedDocument struct {
	version definer.Version
	hash    uint64
	text    []byte
}

// compress returns the document of a version, relative to the one with a hash if
// that is still known. A version older than the newest one seen is compressed
// without a base.
func (c *documentCache) compress(version definer.Version, document []byte, baseHash uint64) (compressor.Compressed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.add(version, document) {
		return compressor.Compress(document, nil)
	}
	base := c.find(baseHash)
	if base == nil {
		baseHash = 0
	}
	if known, exists := c.compressedByBase[baseHash]; exists {
		return known, nil
	}
	compressed, err := compressor.Compress(document, base)
	if err != nil {
		return compressed, trace.Wrap(err)
	}
	c.compressedByBase[baseHash] = compressed
	klog.InfoS("definition compressed", "version", version, "bytes", len(document), "compressed", len(compressed.Data), "relative", baseHash != 0)
	return compressed, nil
}

// remember adds the document of a state, if it has one.
func (c *documentCache) remember(state State) {
	if state.Document == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(state.Version, state.Document)
}

// add makes a version the newest one. It returns false if a newer one is known.
// c.mu must be held.
func (c *documentCache) add(version definer.Version, document []byte) bool {
	if count := len(c.documents); count > 0 && version <= c.documents[count-1].version {
		return version == c.documents[count-1].version
	}
	c.documents = append(c.documents, cachedDocument{version: version, hash: compressor.Hash(document), text: document})
	c.compressedByBase = map[uint64]compressor.Compressed{}
	total := 0
	for _, cached := range c.documents {
		total += len(cached.text)
	}
	for len(c.documents) > maxCachedDocuments || total > maxCachedBytes && len(c.documents) > 1 {
		total -= len(c.documents[0].text)
		c.documents = c.documents[1:]
	}
	return true
}

// find returns the document with a hash, or nil. c.mu must be held.
func (c *documentCache) find(hash uint64) []byte {
	for _, cached := range c.documents {
		if cached.hash == hash {
			return cached.text
		}
	}
	return nil
}

func (c *Controller) serveDocument(_ context.Context, _ certifier.Identity, query DocumentQuery) (DocumentAnswer, error) {
	state := c.machine.state()
	document, err := c.documents.compress(state.Version, state.Document, query.BaseHash)
	state.Document = nil
	return DocumentAnswer{State: state, Document: document}, err
}
