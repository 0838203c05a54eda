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
	if before.residentBytes <= 0 || before.cpuSeconds <= 0 || after.cpuSeconds < before.cpuSeconds ||
		after.openDescriptors != before.openDescriptors+1 {
		t.Errorf("usage before is %+v and after opening one more descriptor %+v; want memory and CPU time above 0, "+
			"no less CPU time and exactly one more descriptor", before, after)
	}
	if _, err := readUsage(1 << 30); err == nil {
		t.Error("readUsage returned no error for a process that does not exist")
	}
}
