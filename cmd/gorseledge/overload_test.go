package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// A node that runs out of descriptors could fail or leak them. With more clients than descriptors it rejects some, serves
// the others, and has all descriptors free again once they have left.
func TestMoreClientsThanDescriptors(t *testing.T) {
	n := startNode(t, "proxy", 3, 60)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	var open []*testConn
	busy := 0
	for range 60 {
		client := n.connect()
		client.send(fmt.Sprintf("OPEN %x %x c=chat,d=900\r\n", len(open)+1, len(open)+1))
		got := client.readLine()
		if got == "UP 1" {
			open = append(open, client)
			continue
		}
		busy++
		if !strings.HasPrefix(got, "BUSY") {
			t.Fatalf("answered %q, want UP 1 or BUSY", got)
		}
	}
	if busy == 0 || len(open) < 10 {
		t.Fatalf("%d established, %d rejected; want at least 10 and 1", len(open), busy)
	}
	n.waitForLog(`"reason":"no-sockets"`)
	for _, client := range open {
		client.Close()
	}
	for end := time.Now().Add(waitTimeout); n.placeFlow() != "UP 1"; {
		if time.Now().After(end) {
			t.Fatalf("no descriptor was freed within %v of the clients' end", waitTimeout)
		}
	}
}

// badClientEnd is how long a bad client waits for the end of its connection. It is twice the time that the protocol
// allows, since the race detector slows the node down.
const badClientEnd = 6 * time.Second

// badClientTexts returns the texts that bad clients send.
func badClientTexts() []string {
	flood := strings.Repeat("x", 1<<20)
	return []string{"", "OPEN 77", "PING\r\n", strings.Repeat("PING\r\n", 500), strings.Repeat(openingLine(900), 300), flood,
		"HELLO\r\n" + flood, "OPEN 1 2 c=chat,d=-1\r\n", "OPEN 1 2 c=chat,d=soon\r\n", "OPEN 1 2 c=none,d=900\r\n",
		"OPEN  2 c=chat,d=900\r\n", "\x00\xff\n"}
}

// Hundreds of clients that send nothing, too much or invalid lines could use up the descriptors, of which the kernel
// allows this node 256. Each gets an error or the end of its connection in time, and normal clients are served as before.
func TestBadClientsDoNotAffectOthers(t *testing.T) {
	n := startNode(t, "proxy", 3, 256)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	texts := badClientTexts()
	ended := make(chan error, 600)
	for i := range cap(ended) {
		go func() { ended <- runBadClient(n.address, texts[i%len(texts)]) }()
	}
	answers := map[string]int{}
	for left := cap(ended); left > 0; {
		select {
		case err := <-ended:
			left--
			if err != nil {
				t.Fatal(err)
			}
		default:
			answers[answerWord(n.placeFlow())]++
		}
	}
	// At the start, when all bad clients connect at once, a few normal clients may be rejected and have to retry.
	others := -answers["UP"]
	for _, times := range answers {
		others += times
	}
	if answers["UP"] < 20 || others > 5 {
		t.Errorf("normal clients were answered %v", answers)
	}
	if strings.Contains(n.log.text(), `"message":"accepting a client connection failed"`) {
		t.Error("accepting a client connection failed, so no descriptor was left for it")
	}
}

// runBadClient sends a text and reads until the node ends the connection. It returns an error if the node does not end
// it in time, or if the client is served.
func runBadClient(address, text string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(badClientEnd))
	go io.WriteString(conn, text)
	reader := bufio.NewReader(conn)
	for err == nil {
		var answer string
		answer, err = reader.ReadString('\n')
		if strings.HasPrefix(answer, "UP") {
			return errors.New("a bad client was served")
		}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("the connection of a client that sent %.20q did not end within %v", text, badClientEnd)
	}
	return nil
}

// answerWord returns an answer without its numbers.
func answerWord(answer string) string { return strings.TrimRight(answer, " 0123456789") }

// A host that floods the node with data in place of an answer could block it or exhaust its memory. Only flows placed on
// such a host lose an attempt; the others are served.
func TestFloodingHostCostsOnlyAttempts(t *testing.T) {
	n := startNode(t, "proxy", 3, 200)
	n.respondAtHost(0, func(string) string { return strings.Repeat("x", 1<<20) })
	n.respondAtHost(1, func(string) string { return strings.Repeat("x\r\n", 1<<18) })
	n.serveAtHost(2)
	answers := map[string]int{}
	for range 40 {
		answers[answerWord(n.placeFlow())]++
	}
	if answers["UP"] < 20 || answers["UP"]+answers["BUSY"]+answers["ERR"] != 40 {
		t.Errorf("answered %v, want at least 20 UP and otherwise BUSY or ERR", answers)
	}
}

// If clients could use all descriptors, the node could not open a new watch of the endpoint list. While idle clients hold
// as many descriptors as they can get, the node must still connect to a discovery at a new address.
func TestListIsWatchedUnderDescriptorPressure(t *testing.T) {
	n := startNode(t, "proxy", 2, 96)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	stop := make(chan struct{})
	crowd := make(chan error, 1)
	go func() { crowd <- crowdListener(n.address, stop) }()
	n.waitForLog(`"reason":"no-sockets"`)
	next := startDiscovery(t)
	next.Publish(endpoint.List{Index: 7, Complete: true, Hosts: []endpoint.Host{
		{Name: "s-00000064", Address: n.hosts[0].Addr().String(), Status: "DRAINING"},
		{Name: "s-00000065", Address: n.hosts[1].Addr().String(), Status: "SERVING"}}})
	n.discovery.Close() // the old discovery is down before the node learns of the new one
	n.config["discovery"] = next.Address()
	n.writeConfig()
	n.signal(syscall.SIGHUP)
	select {
	case <-next.WatchOpened:
	case <-time.After(6 * time.Second):
		t.Error("the node did not watch the new discovery within 6 s")
	}
	close(stop)
	if err := <-crowd; err != nil {
		t.Fatal(err)
	}
	if strings.Contains(n.log.text(), `"message":"accepting a client connection failed"`) ||
		strings.Contains(n.log.text(), "too many open files") {
		t.Error("the node ran out of descriptors")
	}
}

// crowdListener connects clients as fast as they are accepted, and keeps up to 300 idle connections open, until stop is
// closed.
func crowdListener(address string, stop <-chan struct{}) error {
	const maxIdle = 300
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		idle = append(idle, conn)
		if len(idle) > maxIdle {
			idle[0].Close()
			idle = idle[1:]
		}
	}
}
