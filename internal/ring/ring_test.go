package ring

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// What went in comes out, in order, whatever the steps; the free part never overlaps what is held.
func TestBytesComeOutInOrder(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	r, in, out := New(16), byte(0), byte(0)
	for range 20000 {
		if space := r.Space(); chance.IntN(2) == 0 {
			n := chance.IntN(len(space) + 1)
			for i := range n {
				space[i] = in
				in++
			}
			r.Fill(n)
		} else if front := r.Front(chance.IntN(20)); len(front) > 0 {
			n := chance.IntN(len(front) + 1)
			for _, b := range front[:n] {
				if b != out {
					t.Fatalf("got %d, wanted %d", b, out)
				}
				out++
			}
			r.Drop(n)
		}
		if r.Len() != int(in-out) || r.Free() != 16-r.Len() || (len(r.Space()) == 0) != (r.Free() == 0) {
			t.Fatalf("%d held, room for %d, %d in a piece", r.Len(), r.Free(), len(r.Space()))
		}
		held := r.Append(nil, 0, r.Len())
		for i, b := range held {
			if b != out+byte(i) || r.Find(i, b) != i {
				t.Fatalf("place %d holds %d, found at %d", i, b, r.Find(i, b))
			}
		}
		if r.Find(0, in) != -1 || !bytes.Equal(r.Append(nil, r.Len()/2, r.Len()), held[r.Len()/2:]) {
			t.Fatal("found what is not there, or lost what is")
		}
	}
}

func TestMisusePanics(t *testing.T) {
	for name, do := range map[string]func(){
		"no power of two": func() { New(12) },
		"nothing":         func() { New(0) },
		"overfilled":      func() { New(8).Fill(9) },
		"overdrawn":       func() { New(8).Drop(1) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: went through", name)
				}
			}()
			do()
		}()
	}
}
