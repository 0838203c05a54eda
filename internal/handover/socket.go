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
	maxPathBytes = 100 // bytes of a socket's path, below the system's limit of 108
	socketMode   = 0o600
)

// Path returns the path in dir of the handover socket of the process that serves clients on the address listen.
func Path(dir, listen string) string {
	name := strings.NewReplacer("/", "_", ":", "-").Replace(listen)
	return filepath.Join(dir, "gorseledge-"+name+".sock")
}

// shorten returns a path to the same socket that is short enough for the system. For a long path, it opens the directory
// and returns a path through that descriptor. The path is valid until release is called.
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

// Listen listens for a successor at a path, and replaces the socket of any process that listened there before. Closing
// the listener does not remove the socket's file, which may belong to another process by then.
func Listen(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	listener, err := listenAt(temporary)
	if err != nil {
		return nil, fmt.Errorf("listening for a successor: %w", err)
	}
	// The rename replaces the old socket atomically, so that a successor always finds a process at the path.
	if err := os.Rename(temporary, path); err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, fmt.Errorf("listening for a successor: %w", err)
	}
	return listener, nil
}

// listenAt listens at a path that no other process uses, and gives only the same user access to the socket.
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

// Dial connects to the process that listens at a path. If there is none, the error is os.ErrNotExist or, if a process
// has left its socket behind, syscall.ECONNREFUSED.
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
