package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// WriteFile writes a file completely or not at all: under a temporary name in the same directory, which is renamed at
// the end. The file has mode 0600.
func WriteFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".lab-*")
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	defer os.Remove(f.Name()) // has no effect once the file is renamed
	_, writeErr := f.Write(text)
	closeErr := f.Close()
	if err := errors.Join(writeErr, closeErr); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}
