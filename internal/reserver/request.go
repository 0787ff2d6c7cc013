package reserver

import (
	"errors"
	"io"
)

const (
	// firstBodyBytes is the size of the first buffer of a request's body. Bodies are often
	// smaller; a buffer as large as declared would be held by callers that send nothing. It
	// is not a power of two, so that a body of 4 MiB ends within the buffer that it fills.
	firstBodyBytes = 16<<10 + 512
	// declaredGrowth is the factor by which the buffer of a body with a length grows, and
	// chunkedGrowth of one without.
	declaredGrowth, chunkedGrowth = 4, 2
)

// ReadRequest reads the body of a request to its end, of which the length is known unless it
// is negative. It reserves the memory as the body arrives, and does not release it after an
// error either. The error is that of the body, or ErrRequestsExhausted if there is no memory
// or the reading was dropped.
func (r *Reservation) ReadRequest(body io.Reader, length int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length+1) // a byte more, so that the end is read without a larger buffer
	}
	if !r.TryGrow(size) {
		return nil, ErrRequestsExhausted
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.Progress(n)
		switch {
		case err != nil && !r.Keep():
			return nil, ErrRequestsExhausted
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) < cap(buffer):
			continue
		}
		size := int64(cap(buffer)) * chunkedGrowth
		if length >= int64(len(buffer)) {
			size = min(int64(cap(buffer))*declaredGrowth, length+1)
		}
		held := int64(cap(buffer))
		if !r.TryGrow(held + size) { // both are held while one is copied
			r.Keep()
			return nil, ErrRequestsExhausted
		}
		larger := make([]byte, len(buffer), size)
		copy(larger, buffer)
		buffer = larger
		r.Shrink(size)
	}
}
