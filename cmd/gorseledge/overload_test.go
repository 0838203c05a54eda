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

// More clients than descriptors: some are rejected, the node goes on, and all is free again afterwards.
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
			t.Fatalf("answered %q", got)
		}
	}
	if busy == 0 || len(open) < 10 {
		t.Fatalf("%d established, %d rejected", len(open), busy)
	}
	n.waitForLog(`"reason":"no-sockets"`)
	for _, client := range open {
		client.Close()
	}
	for end := time.Now().Add(waitTimeout); n.placeFlow() != "UP 1"; {
		if time.Now().After(end) {
			t.Fatal("nothing was freed")
		}
	}
}

// badClientEnd is how long a bad client waits for the end of its connection: twice what the protocol allows, since the
// race detector is slow.
const badClientEnd = 6 * time.Second

// badClientTexts are what bad clients send.
func badClientTexts() []string {
	flood := strings.Repeat("x", 1<<20)
	return []string{"", "OPEN 77", "PING\r\n", strings.Repeat("PING\r\n", 500), strings.Repeat(openingLine(900), 300), flood,
		"HELLO\r\n" + flood, "OPEN 1 2 c=chat,d=-1\r\n", "OPEN 1 2 c=chat,d=soon\r\n", "OPEN 1 2 c=none,d=900\r\n",
		"OPEN  2 c=chat,d=900\r\n", "\x00\xff\n"}
}

// Bad clients by hundreds, against a node of 256 descriptors, which the system enforces, are each answered an error or
// ended in time, and the usual ones are served meanwhile.
func TestBadClientsDoNotAffectOthers(t *testing.T) {
	n := startNode(t, "proxy", 3, 256)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	texts := badClientTexts()
	ended := make(chan error, 600)
	for i := range cap(ended) {
		go func() { ended <- beBadClient(n.address, texts[i%len(texts)]) }()
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
	// In the first moment, in which all come at once, one or the other has to come again.
	others := -answers["UP"]
	for _, times := range answers {
		others += times
	}
	if answers["UP"] < 20 || others > 5 {
		t.Errorf("usual clients were answered %v", answers)
	}
	if strings.Contains(n.log.text(), `"message":"accepting a client connection failed"`) {
		t.Error("no descriptor was left")
	}
}

// beBadClient sends a text and reads until the node ends the connection. The error tells that it did not, or that the
// client was served.
func beBadClient(address, text string) error {
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
		return fmt.Errorf("%.20q got no end", text)
	}
	return nil
}

// answerWord is an answer without its figures.
func answerWord(answer string) string { return strings.TrimRight(answer, " 0123456789") }

// A host that floods, before its answer or in place of one, costs the flows that meet it an attempt; others are served.
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
		t.Errorf("answered %v", answers)
	}
}

// The list is followed while idle clients hold every descriptor that they can, also from a discovery to which the node
// is sent just then: not all descriptors may be with clients when the watch has to be opened anew.
func TestListIsFollowedWithoutFreeDescriptors(t *testing.T) {
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
	n.discovery.Close() // the old one is down, and only then the node hears about the new one
	n.config["discovery"] = next.Address()
	n.writeConfig()
	n.signal(syscall.SIGHUP)
	select {
	case <-next.WatchOpened:
	case <-time.After(6 * time.Second):
		t.Error("the new discovery was not asked within 6 s")
	}
	close(stop)
	if err := <-crowd; err != nil {
		t.Fatal(err)
	}
	if strings.Contains(n.log.text(), `"message":"accepting a client connection failed"`) ||
		strings.Contains(n.log.text(), "too many open files") {
		t.Error("no descriptor was left")
	}
}

// crowdListener connects clients as fast as they are accepted, and holds up to 300 idle connections until it is stopped.
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
