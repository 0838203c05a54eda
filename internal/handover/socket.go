package handover

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

const (
	maxPathBytes = 100 // of a socket's path, less than the system's 108
	socketMode   = 0o600
)

// Path returns the path of the socket in dir by which the process that serves the address listen is found.
func Path(dir, listen string) string {
	name := strings.NewReplacer("/", "_", ":", "-").Replace(listen)
	return filepath.Join(dir, "gorseledge-"+name+".sock")
}

// shorten returns a path to the same socket that is short enough for the system: a long one leads by way of its open
// directory. It is valid until release is called.
func shorten(path string) (short string, release func(), err error) {
	if len(path) < maxPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return short, func() { dir.Close() }, nil
}

// Listen listens for a successor at a path, in place of any process that did so before. The socket's file stays when
// the listener is closed, as it may be another process's by then.
func Listen(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	listener, err := listenAt(temporary)
	if err != nil {
		return nil, fmt.Errorf("listening for a successor: %w", err)
	}
	// The rename leaves no moment in which no process is found at the path.
	if err := os.Rename(temporary, path); err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, fmt.Errorf("listening for a successor: %w", err)
	}
	return listener, nil
}

// listenAt listens at a path that no other process uses, for the same user alone.
func listenAt(path string) (*net.UnixListener, error) {
	short, release, err := shorten(path)
	if err != nil {
		return nil, err
	}
	defer release()
	os.Remove(path)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Chmod(path, socketMode); err != nil {
		listener.Close()
		os.Remove(path)
		return nil, err
	}
	return listener, nil
}

// Dial connects to the process that listens at a path. Without one the error is os.ErrNotExist or, where a process has
// left its socket behind, syscall.ECONNREFUSED.
func Dial(ctx context.Context, path string) (*Link, error) {
	short, release, err := shorten(path)
	if err != nil {
		return nil, fmt.Errorf("connecting to the predecessor: %w", err)
	}
	defer release()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", short)
	if err != nil {
		return nil, fmt.Errorf("connecting to the predecessor: %w", err)
	}
	return NewLink(conn.(*net.UnixConn))
}
