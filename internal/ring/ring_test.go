package ring

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// testSize is the size of the ring whose steps are drawn.
const testSize = 16

// streamedRing is a ring that a stream of counted bytes goes through.
type streamedRing struct {
	*testing.T
	*Ring
	random  *rand.Rand
	in, out byte // the next byte to go in, and to come out
}

// What went in comes out, in order, whatever the steps; the free part never overlaps what is held.
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
			s.Fatalf("got %d, want %d", b, s.out)
		}
		s.out++
	}
	s.Drop(n)
}

// check compares what the ring says of itself with what went in and came out.
func (s *streamedRing) check() {
	t := s.T
	t.Helper()
	if s.Len() != int(s.in-s.out) || s.Free() != testSize-s.Len() || (len(s.Space()) == 0) != (s.Free() == 0) {
		t.Fatalf("%d held, %d free, %d in a piece", s.Len(), s.Free(), len(s.Space()))
	}
	held := s.Append(nil, 0, s.Len())
	for i, b := range held {
		if b != s.out+byte(i) || s.Find(i, b) != i {
			t.Fatalf("place %d holds %d, found at %d", i, b, s.Find(i, b))
		}
	}
	if s.Find(0, s.in) != -1 {
		t.Fatal("found what is not there")
	}
	if half := s.Len() / 2; !bytes.Equal(s.Append(nil, half, s.Len()), held[half:]) {
		t.Fatal("lost what is there")
	}
}

func TestMisusePanics(t *testing.T) {
	for name, misuse := range map[string]func(){
		"a size that is no power of two": func() { New(12) },
		"a size of 0":                    func() { New(0) },
		"filled past its free part":      func() { New(8).Fill(9) },
		"dropped more than is held":      func() { New(8).Drop(1) },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("it does not panic")
				}
			}()
			misuse()
		})
	}
}
