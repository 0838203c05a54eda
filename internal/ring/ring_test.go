package ring

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// testSize is the size in bytes of the ring in the randomized test.
const testSize = 16

// streamedRing is a ring through which consecutive byte values pass, so that each byte read can be checked.
type streamedRing struct {
	*testing.T
	*Ring
	random  *rand.Rand
	in, out byte // the next byte to be written, and the next one expected to be read
}

// At the end of the buffer, where slices wrap around, bytes could be lost, reordered or overwritten. Random fills and
// drops must leave the stream unchanged and the free part apart from the bytes held.
func TestBytesComeOutInOrder(t *testing.T) {
	s := &streamedRing{T: t, Ring: New(testSize), random: rand.New(rand.NewPCG(1, 2))}
	for range 20000 {
		if s.random.IntN(2) == 0 {
			s.fillSome()
		} else {
			s.dropSome()
		}
		s.check()
	}
}

func (s *streamedRing) fillSome() {
	space := s.Space()
	n := s.random.IntN(len(space) + 1)
	for i := range n {
		space[i] = s.in
		s.in++
	}
	s.Fill(n)
}

func (s *streamedRing) dropSome() {
	s.Helper()
	front := s.Front(s.random.IntN(testSize + 4))
	if len(front) == 0 {
		return
	}
	n := s.random.IntN(len(front) + 1)
	for _, b := range front[:n] {
		if b != s.out {
			s.Fatalf("read byte %d, want %d", b, s.out)
		}
		s.out++
	}
	s.Drop(n)
}

// check compares the results of the ring's methods with the bytes written and read so far.
func (s *streamedRing) check() {
	t := s.T
	t.Helper()
	if s.Len() != int(s.in-s.out) || s.Free() != testSize-s.Len() || (len(s.Space()) == 0) != (s.Free() == 0) {
		t.Fatalf("%d bytes held, %d free, %d of them contiguous; want %d held", s.Len(), s.Free(), len(s.Space()), int(s.in-s.out))
	}
	held := s.Append(nil, 0, s.Len())
	for i, b := range held {
		if b != s.out+byte(i) || s.Find(i, b) != i {
			t.Fatalf("offset %d holds byte %d, which Find returns at %d", i, b, s.Find(i, b))
		}
	}
	if s.Find(0, s.in) != -1 {
		t.Fatal("Find returned an offset for a byte that the ring does not hold")
	}
	if half := s.Len() / 2; !bytes.Equal(s.Append(nil, half, s.Len()), held[half:]) {
		t.Fatal("Append from the middle differs from the second half of all bytes")
	}
}

// A wrong size or count would corrupt the stream of a connection without a sign, so each is a panic.
func TestMisusePanics(t *testing.T) {
	for name, misuse := range map[string]func(){
		"size that is not a power of two": func() { New(12) },
		"size of 0":                       func() { New(0) },
		"filled more than is free":        func() { New(8).Fill(9) },
		"dropped more than is held":       func() { New(8).Drop(1) },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			misuse()
		})
	}
}
