package serving

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/rig/standin"
)

const (
	openWithin  = 30 * time.Second // for one client, with all its retries
	atOnce      = 32               // clients that are opened side by side
	perAddress  = 1000             // clients of one source address
	connectTime = 2000             // milliseconds that a client gives the node
	beginning   = "M "             // of a line whose next word is the time at which it was written
	longestLine = 512
)

// client is one client of the node and the host's end of its flow.
type client struct {
	socket net.Conn
	host   net.Conn
	closed atomic.Bool // by the client itself
}

// clients are all clients of a node. Each reads what is delivered to it and tells the recorder.
type clients struct {
	node    string
	hosts   *standin.Hosts
	began   time.Time
	all     []*client
	readers sync.WaitGroup
	opened  atomic.Int64
	retries atomic.Int64
	record  atomic.Pointer[recorder]
	lost    atomic.Int64 // connections that ended before the clients closed them
}

// recorder is told of each delivery: when it was written at the host and when the client had read it, both since the
// clients began. Several clients call it at once.
type recorder func(written, read time.Duration)

// line gives the text of a delivery that is written now.
func (c *clients) line(size int) []byte { return c.lineAt(time.Since(c.began), size) }

// lineAt gives a delivery's text of so many bytes, with the time at which it is written.
func (c *clients) lineAt(written time.Duration, size int) []byte {
	text := beginning + strconv.FormatInt(int64(written), 10) + " "
	return []byte(text + strings.Repeat("x", max(size-len(text)-2, 0)) + "\r\n")
}

// grow opens clients until there are so many.
func (c *clients) grow(ctx context.Context, until int) error {
	more := make([]*client, max(until-len(c.all), 0))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(atOnce)
	for i := range more {
		group.Go(func() (err error) {
			more[i], err = c.open(ctx, len(c.all)+i)
			return err
		})
	}
	err := group.Wait()
	for _, one := range more {
		if one == nil {
			continue
		}
		c.all = append(c.all, one)
	}
	return err
}

// open opens one client; a node that turns it away is asked again.
func (c *clients) open(ctx context.Context, number int) (*client, error) {
	ctx, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	for {
		one, answer, err := c.attempt(ctx, number)
		if one != nil {
			return one, nil
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("client %d is not established: %s: %w", number, answer, errors.Join(ctx.Err(), err))
		}
		c.retries.Add(1)
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// attempt connects once. Without a client, the answer or the error says why.
func (c *clients) attempt(ctx context.Context, number int) (_ *client, answer string, err error) {
	from := number / perAddress
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 100, byte(from>>8), byte(1+from&0xff))}}
	socket, err := dialer.DialContext(ctx, "tcp", c.node)
	if err != nil {
		return nil, "no connection", err
	}
	id := fmt.Sprintf("%08x", c.opened.Add(1)) // new with each attempt
	in := bufio.NewReaderSize(socket, longestLine)
	socket.SetDeadline(time.Now().Add(openWithin))
	fmt.Fprintf(socket, "OPEN %s %x c=chat,d=%d\r\n", id, number, connectTime)
	answer, err = in.ReadString('\n')
	host := c.hosts.FlowConnection(id)
	if err != nil || !strings.HasPrefix(answer, "UP") || host == nil {
		socket.Close()
		return nil, strings.TrimSpace(answer), err
	}
	socket.SetDeadline(time.Time{})
	one := &client{socket: socket, host: host}
	c.readers.Go(func() { c.read(one, in) })
	return one, "", nil
}

// read reads deliveries to a client until its connection ends.
func (c *clients) read(one *client, in *bufio.Reader) {
	for {
		text, err := in.ReadSlice('\n')
		read := time.Since(c.began)
		if err != nil { // also a line that does not fit, which nobody sends
			if !one.closed.Load() {
				c.lost.Add(1)
			}
			return
		}
		rest, ours := strings.CutPrefix(string(text[:min(len(text), 32)]), beginning)
		if !ours {
			continue
		}
		word, _, _ := strings.Cut(rest, " ")
		written, err := strconv.ParseInt(strings.TrimSpace(word), 10, 64)
		if record := c.record.Load(); err == nil && record != nil {
			(*record)(time.Duration(written), read)
		}
	}
}

// end closes a client's connection; its host's follows.
func (one *client) end() {
	one.closed.Store(true)
	one.socket.Close()
}

// close ends all clients and waits until none reads any more.
func (c *clients) close() {
	for _, one := range c.all {
		one.end()
	}
	c.readers.Wait()
}
