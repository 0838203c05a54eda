package admin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const settled = 25 * time.Millisecond // by when a usual caller has sent something, unless the machine is busy

var nothing = log.New(io.Discard, "", 0)

// door is a listener that holds few connections: who has been silent longest makes room, but for who has sent a
// whole call.
type door struct {
	net.Listener
	mu    sync.Mutex
	room  *sync.Cond
	most  int
	calls map[*call]bool
}

// call is a connection of the second address.
type call struct {
	net.Conn
	door  *door
	heard time.Time // when it last said anything
	whole bool
}

func newDoor(ln net.Listener, most int) *door {
	d := &door{Listener: ln, most: max(most, 1), calls: map[*call]bool{}}
	d.room = sync.NewCond(&d.mu)
	return d
}

// Accept takes the next connection, once there is room for it.
func (d *door) Accept() (net.Conn, error) {
	d.makeRoom()
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &call{Conn: c, door: d, heard: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[k] = true
	return k, nil
}

// makeRoom ends the connection that has been silent longest, once it is settled; where all have sent whole
// calls it waits for one of them to be answered, which takes a second at the most.
func (d *door) makeRoom() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.calls) >= d.most {
		var oldest *call
		for k := range d.calls {
			if !k.whole && (oldest == nil || k.heard.Before(oldest.heard)) {
				oldest = k
			}
		}
		if oldest == nil {
			d.room.Wait()
			continue
		}
		if age := time.Since(oldest.heard); age < settled {
			wake := time.AfterFunc(settled-age, d.room.Broadcast)
			d.room.Wait()
			wake.Stop()
			continue
		}
		delete(d.calls, oldest)
		oldest.Conn.Close()
	}
}

// Read notes that the caller is not silent.
func (k *call) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.door.mu.Lock()
		k.heard = time.Now()
		k.door.mu.Unlock()
	}
	return n, err
}

type key struct{}

func (d *door) mark(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// complete says that a connection has sent a whole call: from here on it is not ended for another.
func complete(ctx context.Context) {
	if k, ok := ctx.Value(key{}).(*call); ok {
		k.door.mu.Lock()
		k.whole = true
		k.door.mu.Unlock()
	}
}

func (d *door) state(c net.Conn, s http.ConnState) {
	if k, ok := c.(*call); ok && (s == http.StateClosed || s == http.StateHijacked) {
		d.mu.Lock()
		delete(d.calls, k)
		d.room.Broadcast()
		d.mu.Unlock()
	}
}
