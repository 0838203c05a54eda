package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// Nothing runs on once Run is back, however it ended and whatever was under way.
func TestNoLeak(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(cancel context.CancelFunc, stop chan<- os.Signal)
		want error
	}{
		{"called off", func(cancel context.CancelFunc, _ chan<- os.Signal) { cancel() }, context.Canceled},
		{"asked to leave", func(_ context.CancelFunc, stop chan<- os.Signal) { stop <- syscall.SIGTERM }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.WriteString(w, `{"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":"`+host.Addr().String()+
					`","status":"SERVING","weight":1}]}`+"\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			before := goleak.IgnoreCurrent()
			log, lines := io.Pipe()
			stop := make(chan os.Signal, 1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			config := Config{Listen: "127.0.0.1:0", Discovery: silent.Listener.Addr().String(),
				Settings: []byte(`{"service_types":[{"name":"chat","effect":"repeatable","give_up_us":300000}],"limits":{"max_connects":1}}`)}
			ran := make(chan error, 1)
			go func() {
				err := Run(ctx, config, zerolog.New(lines), Signals{Shutdown: stop})
				lines.Close()
				ran <- err
			}()
			in := bufio.NewScanner(log)
			address := ""
			for in.Scan() {
				var line struct{ Listen, Message string }
				if json.Unmarshal(in.Bytes(), &line); line.Listen != "" {
					address = line.Listen
				}
				if strings.HasPrefix(line.Message, "base list of 1") {
					break
				}
			}
			go io.Copy(io.Discard, log)
			for id := range 3 { // all are placed, and wait for hosts that say nothing
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := fmt.Fprintf(conn, "OPEN %d a1 c=chat,d=60000\r\n", id); err != nil {
					t.Fatal(err)
				}
			}
			taken, err := host.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.end(cancel, stop)
			if err := <-ran; !errors.Is(err, c.want) {
				t.Errorf("ended with %v, wanted %v", err, c.want)
			}
			taken.Close()
			host.Close()
			silent.CloseClientConnections()
			log.Close()
			goleak.VerifyNone(t, before)
			silent.Close()
		})
	}
}

func TestStart(t *testing.T) {
	cases := []struct {
		name, text string
		sockets    int
		known      int
		fails      bool
	}{
		{"nothing told", `{"settings":{}}`, manySockets - ownDescriptors, 0, false},
		{"limits and a list", `{"settings":{},"seed":"ff","limits":{"sockets":1000},"known":{"endpoints":[{"name":"a"}]}}`,
			1000 - ownDescriptors, 1, false},
		{"a list that does not parse", `{"settings":{},"known":[7]}`, manySockets - ownDescriptors, 0, false},
		{"hardly any descriptors", `{"settings":{},"limits":{"sockets":5}}`, 2, 0, false},
		{"below nothing", `{"settings":{},"limits":{"sockets":-5}}`, manySockets - ownDescriptors, 0, false},
		{"no settings", `{}`, 0, 0, true},
		{"messages among nodes", `{"settings":{"limits":{"peers":true}},"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:8"]}`,
			manySockets - ownDescriptors - 1, 0, false},
		{"messages allowed, and no address", `{"settings":{"limits":{"peers":true}}}`, manySockets - ownDescriptors, 0,
			false},
	}
	for _, c := range cases {
		var config Config
		if err := json.Unmarshal([]byte(c.text), &config); err != nil {
			t.Fatal(err)
		}
		s, err := config.start()
		if (err != nil) != c.fails || s.MaxDescriptors != c.sockets || len(s.CachedList.Hosts) != c.known {
			t.Errorf("%s: %d sockets, %d hosts known, %v", c.name, s.MaxDescriptors, len(s.CachedList.Hosts), err)
		}
	}
}

// A node's number is the one that its name ends with, whatever stands before it: siblings that are numbered have one
// each. Guards against nodes that share a number, and so a part of a cold host's budget.
func TestNumberOf(t *testing.T) {
	seen := map[int]string{}
	for _, name := range []string{"n0", "n3", "edge-12", "lima-2-07", "299", "n99999999999", "", "edge", "nodo-a"} {
		number := numberOf(name)
		if was, taken := seen[number]; taken || number < 0 {
			t.Errorf("%q has %d, as has %q", name, number, was)
		}
		seen[number] = name
	}
	for number, name := range map[int]string{0: "n0", 3: "n3", 12: "edge-12", 7: "lima-2-07", 299: "299"} {
		if seen[number] != name {
			t.Errorf("%q has not %d", name, number)
		}
	}
}

// One build serves every shape of deployment, by its settings alone. Guards against a node that is started on half of
// one shape and half of another: it says which key is at fault.
func TestMixedShapes(t *testing.T) {
	const allowed = `"settings":{"limits":{"peers":true,"probes":true},"reporting":{"source":"on_probe","fields":["x0"]}}`
	for _, c := range []struct{ name, text, key string }{
		{"an address for messages that the settings do not allow", `"settings":{},"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"other nodes, and no messages allowed", `"settings":{},"peers":["127.0.0.1:8"]`, "peers"},
		{"other nodes, and no address", allowed + `,"peers":["127.0.0.1:8"]`, "peers"},
		{"an address, and no other nodes", allowed + `,"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"an address that is none", allowed + `,"peer_addr":"n1","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"an address of many", allowed + `,"peer_addr":"0.0.0.0:9","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"another node's that is none", allowed + `,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1"]`, "peers"},
		{"reports on probes that are not allowed", `"settings":{"reporting":{"source":"on_probe","fields":["x0"]}}`,
			"settings.reporting.source"},
	} {
		var config Config
		if err := json.Unmarshal([]byte("{"+c.text+"}"), &config); err != nil {
			t.Fatal(err)
		}
		if _, err := config.start(); err == nil || !strings.HasPrefix(err.Error(), c.key+": ") {
			t.Errorf("%s: %v, wanted %s named", c.name, err, c.key)
		}
	}
	var config Config
	text := "{" + allowed + `,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:9","127.0.0.1:8"]}`
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	if s, err := config.start(); err != nil || !s.Settings.LoadGossip || !s.Settings.LoadReports {
		t.Errorf("whole: %+v, %v", s.Settings, err)
	}
}
