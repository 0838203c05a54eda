package serving

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/rig/standin"
)

const (
	openTimeout       = 30 * time.Second      // time limit for opening one client, including its retries
	retryInterval     = 10 * time.Millisecond // pause between two attempts to open a client
	maxConcurrentOpen = 32                    // limit of clients that are being opened at the same time
	clientsPerAddress = 1000                  // number of clients that share a source address
	connectTimeoutMs  = 2000                  // connect timeout in the opening line, in milliseconds
)

// errNoFlow reports that the node accepted an attempt, but no host has its flow.
var errNoFlow = errors.New("the node accepted the attempt, but no host has the flow")

// observer is called for each delivery with the times at which its host wrote it and its client had read it, both counted
// from clients.began. It must be safe for concurrent use.
type observer func(written, read time.Duration)

// clients are all clients of a node. For each client, a goroutine reads its deliveries and passes them to the observer.
// The method close ends these goroutines.
type clients struct {
	node     string // the address that clients connect to
	hosts    *standin.Hosts
	began    time.Time
	all      []*client
	readers  sync.WaitGroup
	attempts atomic.Int64
	retries  atomic.Int64
	observer atomic.Pointer[observer]
	lost     atomic.Int64 // number of connections that ended before their client closed them
}

// client is one client of the node and the host's end of its flow.
type client struct {
	socket net.Conn
	host   net.Conn
	closed atomic.Bool // whether the client closed the connection itself
}

// close closes the client's connection; the node then closes the host's end.
func (c *client) close() {
	c.closed.Store(true)
	c.socket.Close()
}

// observe replaces the observer. With nil, deliveries are no longer observed.
func (c *clients) observe(o observer) {
	if o == nil {
		c.observer.Store(nil)
		return
	}
	c.observer.Store(&o)
}

// delivery returns a delivery line of the given size in bytes, stamped with the current time.
func (c *clients) delivery(size int) []byte {
	return deliveryAt(time.Since(c.began), size)
}

// grow opens clients until there are total. If one cannot be opened, grow returns its error and keeps those that were opened.
func (c *clients) grow(ctx context.Context, total int) error {
	added := make([]*client, max(total-len(c.all), 0))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentOpen)
	for i := range added {
		group.Go(func() (err error) {
			added[i], err = c.open(ctx, len(c.all)+i)
			return err
		})
	}
	err := group.Wait()
	for _, opened := range added {
		if opened != nil {
			c.all = append(c.all, opened)
		}
	}
	return err
}

// open opens one client. After a failed attempt it tries again, until openTimeout has passed.
func (c *clients) open(ctx context.Context, number int) (*client, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for {
		opened, err := c.attempt(ctx, number)
		if err == nil {
			return opened, nil
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("opening client %d: %w: %w", number, ctx.Err(), err)
		}
		c.retries.Add(1)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// attempt makes one attempt to open a client: it connects to the node, sends the opening line, waits for the answer and starts a
// goroutine that reads the client's deliveries.
func (c *clients) attempt(ctx context.Context, number int) (*client, error) {
	dialer := net.Dialer{LocalAddr: sourceAddress(number)}
	socket, err := dialer.DialContext(ctx, "tcp", c.node)
	if err != nil {
		return nil, fmt.Errorf("connecting to the node: %w", err)
	}
	id := fmt.Sprintf("%08x", c.attempts.Add(1))
	in := bufio.NewReaderSize(socket, maxLineBytes)
	socket.SetDeadline(time.Now().Add(openTimeout))
	fmt.Fprintf(socket, "OPEN %s %x c=chat,d=%d\r\n", id, number, connectTimeoutMs)
	answer, err := in.ReadString('\n')
	host := c.hosts.FlowConnection(id)
	if err := openError(answer, err, host); err != nil {
		socket.Close()
		return nil, err
	}
	socket.SetDeadline(time.Time{})
	opened := &client{socket: socket, host: host}
	c.readers.Go(func() { c.read(opened, in) })
	return opened, nil
}

// openError returns the reason for which an attempt failed, or nil if it succeeded.
func openError(answer string, readErr error, host net.Conn) error {
	switch {
	case readErr != nil:
		return fmt.Errorf("reading the node's answer: %w", readErr)
	case !strings.HasPrefix(answer, "UP"):
		return fmt.Errorf("the node answered %q", strings.TrimSpace(answer))
	case host == nil:
		return errNoFlow
	}
	return nil
}

// sourceAddress returns the loopback address from which a client connects. Clients are spread over several addresses,
// because one address has too few ports for all of them.
func sourceAddress(number int) *net.TCPAddr {
	index := number / clientsPerAddress
	return &net.TCPAddr{IP: net.IPv4(127, 100, byte(index>>8), byte(1+index&0xff))}
}

// read passes a client's deliveries to the observer until its connection ends. It skips lines that are not deliveries. A line
// longer than maxLineBytes, which no host sends, ends the loop too. A connection that the client did not close itself counts as
// lost.
func (c *clients) read(from *client, in *bufio.Reader) {
	for {
		line, err := in.ReadSlice('\n')
		read := time.Since(c.began)
		if err != nil {
			if !from.closed.Load() {
				c.lost.Add(1)
			}
			return
		}
		written, valid := parseDelivery(line)
		if !valid {
			continue
		}
		if observe := c.observer.Load(); observe != nil {
			(*observe)(written, read)
		}
	}
}

// close closes all clients and waits until their reader goroutines have ended.
func (c *clients) close() {
	for _, opened := range c.all {
		opened.close()
	}
	c.readers.Wait()
}
