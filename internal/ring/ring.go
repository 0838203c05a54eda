// Package ring implements a ring buffer for one direction of a connection. One side fills the slices that Space returns
// while the other side reads the slices that Front returns; the two never overlap. The methods of a Ring are not safe for
// concurrent use, but slices from Space and Front may be written and read while another goroutine calls methods.
package ring

import "bytes"

// Ring is a first-in, first-out queue of bytes. Use New; the zero value has no room for any bytes.
type Ring struct {
	buffer []byte
	head   uint64 // stream position of the next byte to be read, counted from the first byte ever written
	tail   uint64 // stream position of the next byte to be written; buffer holds the bytes from head up to it
}

// New returns an empty ring of the given size in bytes. It panics if the size is not a power of two.
func New(size int) *Ring {
	if size <= 0 || size&(size-1) != 0 {
		panic("ring: size is not a power of two")
	}
	return &Ring{buffer: make([]byte, size)}
}

// index returns the index in the buffer of a stream position.
func (r *Ring) index(position uint64) int { return int(position & uint64(len(r.buffer)-1)) }

// Len returns the number of bytes in the ring.
func (r *Ring) Len() int { return int(r.tail - r.head) }

// Free returns the number of bytes that can still be added.
func (r *Ring) Free() int { return len(r.buffer) - r.Len() }

// Space returns the free bytes that are contiguous from the tail on. It is empty if the ring is full.
func (r *Ring) Space() []byte {
	from := r.index(r.tail)
	return r.buffer[from:min(from+r.Free(), len(r.buffer))]
}

// Fill adds the first n bytes of Space, which the caller has written, to the ring. It panics if n exceeds Free.
func (r *Ring) Fill(n int) {
	if n < 0 || n > r.Free() {
		panic("ring: filled more bytes than are free")
	}
	r.tail += uint64(n)
}

// Front returns up to n of the oldest bytes, as far as they are contiguous.
func (r *Ring) Front(n int) []byte {
	from := r.index(r.head)
	return r.buffer[from:min(from+min(n, r.Len()), len(r.buffer))]
}

// Drop removes the n oldest bytes. It panics if n exceeds Len.
func (r *Ring) Drop(n int) {
	if n < 0 || n > r.Len() {
		panic("ring: dropped more bytes than it holds")
	}
	r.head += uint64(n)
}

// Find returns the offset of the first byte equal to wanted at or after offset from, or -1 if there is none. Offsets
// count from the oldest byte.
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

// Append appends the bytes at offsets from up to, but not including, to, counted from the oldest byte, to dst.
func (r *Ring) Append(dst []byte, from, to int) []byte {
	for from < to {
		piece := r.piece(from, to)
		dst = append(dst, piece...)
		from += len(piece)
	}
	return dst
}

// piece returns the bytes at offsets from up to, but not including, to, as far as they are contiguous.
func (r *Ring) piece(from, to int) []byte {
	start := r.index(r.head + uint64(from))
	return r.buffer[start:min(start+to-from, len(r.buffer))]
}
