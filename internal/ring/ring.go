// Package ring is a ring buffer for one direction of a connection. It owns its bytes: one side fills the free part that
// Space gives while the other drains what Front gives, and the two never overlap. It is not safe for use by several
// goroutines at once, but the parts that Space and Front gave may be written and read beside the owner's calls.
package ring

import "bytes"

// Ring holds bytes in the order in which they came. Use New; the zero value holds nothing.
type Ring struct {
	buffer []byte
	head   uint64 // position of the next byte to be read, counted from the first byte ever
	tail   uint64 // position of the next byte to be written; buffer holds the bytes between
}

// New gives an empty ring of a size in bytes, which must be a power of two; it panics otherwise.
func New(size int) *Ring {
	if size <= 0 || size&(size-1) != 0 {
		panic("ring: size is no power of two")
	}
	return &Ring{buffer: make([]byte, size)}
}

// index gives the place of a position in the buffer.
func (r *Ring) index(position uint64) int { return int(position & uint64(len(r.buffer)-1)) }

// Len is how many bytes are held.
func (r *Ring) Len() int { return int(r.tail - r.head) }

// Free is how many more bytes fit.
func (r *Ring) Free() int { return len(r.buffer) - r.Len() }

// Space gives the next free bytes that lie in one piece; it is empty when the ring is full.
func (r *Ring) Space() []byte {
	from := r.index(r.tail)
	return r.buffer[from:min(from+r.Free(), len(r.buffer))]
}

// Fill says that the first n bytes of Space hold data now. It panics for more than fit.
func (r *Ring) Fill(n int) {
	if n < 0 || n > r.Free() {
		panic("ring: filled past its free part")
	}
	r.tail += uint64(n)
}

// Front gives up to n of the oldest bytes, as far as they lie in one piece.
func (r *Ring) Front(n int) []byte {
	from := r.index(r.head)
	return r.buffer[from:min(from+min(n, r.Len()), len(r.buffer))]
}

// Drop frees the n oldest bytes. It panics for more than are held.
func (r *Ring) Drop(n int) {
	if n < 0 || n > r.Len() {
		panic("ring: dropped more than it holds")
	}
	r.head += uint64(n)
}

// Find gives the place of a byte at or after place from, counted from the oldest byte, or -1.
func (r *Ring) Find(from int, wanted byte) int {
	for from < r.Len() {
		piece := r.piece(from, r.Len())
		if i := bytes.IndexByte(piece, wanted); i >= 0 {
			return from + i
		}
		from += len(piece)
	}
	return -1
}

// Append adds the bytes from place from up to place to, counted from the oldest byte, to dst.
func (r *Ring) Append(dst []byte, from, to int) []byte {
	for from < to {
		piece := r.piece(from, to)
		dst = append(dst, piece...)
		from += len(piece)
	}
	return dst
}

// piece gives the bytes from place from up to place to, as far as they lie in one piece.
func (r *Ring) piece(from, to int) []byte {
	start := r.index(r.head + uint64(from))
	return r.buffer[start:min(start+to-from, len(r.buffer))]
}
