// Package ring is a ring buffer for one direction of a connection. One side fills the free part that Space
// gives while the other drains what Front gives: the two never overlap.
package ring

import "bytes"

// Ring holds bytes in the order in which they came.
type Ring struct {
	buf        []byte
	head, tail uint64 // positions ever read and ever written; buf holds those between
}

// New gives an empty ring of a size that is a power of two.
func New(size int) *Ring {
	if size <= 0 || size&(size-1) != 0 {
		panic("ring: size is no power of two")
	}
	return &Ring{buf: make([]byte, size)}
}

func (r *Ring) at(pos uint64) int { return int(pos & uint64(len(r.buf)-1)) }

// Len is how many bytes are held.
func (r *Ring) Len() int { return int(r.tail - r.head) }

// Free is how many more bytes fit.
func (r *Ring) Free() int { return len(r.buf) - r.Len() }

// Space gives the next free bytes that lie in one piece; it is empty when the ring is full.
func (r *Ring) Space() []byte {
	from := r.at(r.tail)
	return r.buf[from:min(from+r.Free(), len(r.buf))]
}

// Fill says that the first n bytes of Space hold data now.
func (r *Ring) Fill(n int) {
	if n < 0 || n > r.Free() {
		panic("ring: filled past its room")
	}
	r.tail += uint64(n)
}

// Front gives up to n of the oldest bytes, as far as they lie in one piece.
func (r *Ring) Front(n int) []byte {
	from := r.at(r.head)
	return r.buf[from:min(from+min(n, r.Len()), len(r.buf))]
}

// Drop frees the n oldest bytes.
func (r *Ring) Drop(n int) {
	if n < 0 || n > r.Len() {
		panic("ring: dropped more than it holds")
	}
	r.head += uint64(n)
}

// Find gives the place of c at or after place from, counted from the oldest byte, or -1.
func (r *Ring) Find(from int, c byte) int {
	for from < r.Len() {
		start := r.at(r.head + uint64(from))
		piece := r.buf[start:min(start+r.Len()-from, len(r.buf))]
		if i := bytes.IndexByte(piece, c); i >= 0 {
			return from + i
		}
		from += len(piece)
	}
	return -1
}

// Append adds the bytes from place from up to place to, counted from the oldest byte, to dst.
func (r *Ring) Append(dst []byte, from, to int) []byte {
	for from < to {
		start := r.at(r.head + uint64(from))
		piece := r.buf[start:min(start+to-from, len(r.buf))]
		dst = append(dst, piece...)
		from += len(piece)
	}
	return dst
}
