package lab

import (
	"testing"

	"gorseledge/internal/emulator"
)

// smallScenario returns a short script with the given rate of new clients a second.
func smallScenario(t *testing.T, rate string) emulator.Scenario {
	t.Helper()
	s, err := emulator.Read("t", []byte("lasts = 8\n[fleet]\nhosts = 3\n[[traffic]]\nname = \"a\"\neffect = \"repeatable\"\nrate = "+
		rate+"\nlives = 4\nload = 0.05\ntarget = 0.3\ntimeout = 2\nvalue = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
