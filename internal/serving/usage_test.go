package serving

import (
	"os"
	"testing"
)

// Usage that is read from a wrong file or field of /proc would make every cost wrong.
func TestUsageCountsThisProcess(t *testing.T) {
	before, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	after, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.memory <= 0 || before.processorTime <= 0 || after.processorTime < before.processorTime ||
		after.descriptors != before.descriptors+1 {
		t.Errorf("usage before %+v, after opening one more descriptor %+v", before, after)
	}
	if _, err := readUsage(1 << 30); err == nil {
		t.Error("readUsage returned no error for a process that does not exist")
	}
}
