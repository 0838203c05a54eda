package lab

import (
	"os"
	"path/filepath"
	"testing"
)

func TestWriteFileLeavesNoTemporaryFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.csv")
	if err := WriteFile(path, []byte("x\n")); err != nil {
		t.Fatal(err)
	}
	all, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(all) != 1 {
		t.Errorf("%d files are left: %v", len(all), err)
	}
}
