package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNotInTable is the error for a listening socket that the kernel's table of sockets does not show.
var errNotInTable = errors.New("the listening socket is not in the kernel's table of sockets")

// steering directs the new connections of an address that several processes listen on to one of them. By default, the
// kernel distributes them over all listening sockets of the address, also to a process that is about to exit.
//
// The kernel keeps these sockets in an array, in the order in which they began to listen, and lets a program that is
// attached to them return the index of the socket for a connection. If a socket is closed, the last one takes its index. For
// an index outside the array the kernel distributes connections as by default, so that the process that remains when the
// other one ends gets all of them.
type steering struct {
	others []uint64 // inodes of the sockets that listened before the one that connections were directed to; empty for none
}

// active reports whether connections were directed to this process's socket.
func (s *steering) active() bool { return len(s.others) > 0 }

// steerHere directs all new connections to a socket that has just begun to listen. It does nothing if no other socket listens
// on the address.
func (s *steering) steerHere(socket *net.TCPListener) error {
	others, err := otherListeners(socket)
	if err != nil {
		return err
	}
	if len(others) == 0 {
		return nil
	}
	if err := attachIndex(socket, len(others)); err != nil {
		return err
	}
	s.others = others
	return nil
}

// steerBack directs all new connections to the last process that listened before this one, provided that the same processes
// still listen on the address. It reports whether it did.
func (s *steering) steerBack(socket *net.TCPListener) (bool, error) {
	if !s.active() {
		return false, nil
	}
	others, err := otherListeners(socket)
	if err != nil || !sameInodes(others, s.others) {
		return false, err
	}
	return true, attachIndex(socket, len(s.others)-1)
}

// sameInodes reports whether two lists have the same inodes, in any order.
func sameInodes(a, b []uint64) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// attachIndex attaches a program to all sockets that listen on the address of the given one. For each new connection the
// program returns index.
func attachIndex(socket *net.TCPListener, index int) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	instruction := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: uint32(index)}
	program := unix.SockFprog{Len: 1, Filter: &instruction}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt", attachErr))
}

// Columns of the kernel's table of TCP sockets, proc_net_tcp(5), and the state of a listening socket in it.
const (
	localAddressColumn = 1
	stateColumn        = 3
	inodeColumn        = 9
	listenState        = "0A"
)

// listeningSocket is a row of the kernel's table of TCP sockets.
type listeningSocket struct {
	address string // in the table's form
	inode   uint64
}

// otherListeners returns the inodes of the other sockets that listen on a socket's address, in no particular order.
func otherListeners(socket *net.TCPListener) ([]uint64, error) {
	own, err := inodeOf(socket)
	if err != nil {
		return nil, err
	}
	for _, path := range []string{"/proc/self/net/tcp", "/proc/self/net/tcp6"} {
		table, err := readListening(path)
		if err != nil && !errors.Is(err, os.ErrNotExist) { // a kernel without IPv6 has no table for it
			return nil, err
		}
		at := slices.IndexFunc(table, func(l listeningSocket) bool { return l.inode == own })
		if at < 0 {
			continue
		}
		var others []uint64
		for _, l := range table {
			if l.address == table[at].address && l.inode != own {
				others = append(others, l.inode)
			}
		}
		return others, nil
	}
	return nil, errNotInTable
}

// inodeOf returns the inode of a socket.
func inodeOf(socket syscall.Conn) (uint64, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var status unix.Stat_t
	var statErr error
	err = raw.Control(func(fd uintptr) { statErr = unix.Fstat(int(fd), &status) })
	return status.Ino, errors.Join(err, os.NewSyscallError("fstat", statErr))
}

// readListening returns the listening sockets of a table of TCP sockets. The kernel shows them before all others, so that
// reading ends at the first socket in another state.
func readListening(path string) ([]listeningSocket, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var listening []listeningSocket
	lines := bufio.NewScanner(file)
	lines.Scan() // the names of the columns
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= inodeColumn || columns[stateColumn] != listenState {
			break
		}
		inode, err := strconv.ParseUint(columns[inodeColumn], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: inode: %w", path, err)
		}
		listening = append(listening, listeningSocket{columns[localAddressColumn], inode})
	}
	return listening, lines.Err()
}
