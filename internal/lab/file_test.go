package lab

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against temporary files that stay in the directory after the file is written.
func TestWriteFileLeavesNoTemporaryFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.csv")
	if err := WriteFile(path, []byte("x\n")); err != nil {
		t.Fatal(err)
	}
	all, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(all) != 1 {
		t.Errorf("got %d files in the directory, want 1 (error %v)", len(all), err)
	}
}
