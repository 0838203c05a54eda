package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// WriteFile writes a file atomically: it writes a temporary file in the same directory and renames it. The file has mode
// 0600.
func WriteFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".lab-*")
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	defer os.Remove(f.Name()) // fails without effect once the file is renamed
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
