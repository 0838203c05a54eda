package standin

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// startNode starts a listener that accepts one connection, answers its opening line with a text and closes the connection.
func startNode(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		in := bufio.NewReader(connection)
		in.ReadString('\n')
		io.WriteString(connection, answer)
		connection.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, in) // closing with unread data would reset the connection before the client has read the answer
	}()
	return listener.Addr().String()
}

// The rules of a run are checked against these results: RunFlow must distinguish the node's answers and count repeated ones.
func TestRunFlowReportsAnswerOfNode(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         Flow
	}{
		{"rejected", "BUSY 5\r\n", Flow{Answer: Busy, Answers: 1}},
		{"error", "ERR\r\n", Flow{Answer: Failed, Answers: 1}},
		{"closed without an answer", "", Flow{Answer: Disconnected}},
		{"established and cut off", "UP h0\r\n", Flow{Answer: Established, Answers: 1, Ended: EndedByCut}},
		{"established and moved", "UP h0\r\nMOVE\r\n", Flow{Answer: Established, Answers: 1, Ended: EndedByMove}},
		{"answered twice", "UP h0\r\nERR\r\nBYE\r\n", Flow{Answer: Established, Answers: 2, Ended: EndedByMove}},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := FlowRequest{Address: startNode(t, c.answer), ID: "1", Timeout: 5 * time.Second, Lines: 4}
			if got := RunFlow(t.Context(), request); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// A node that accepts no connections must not be mistaken for one that accepts them and does not answer.
func TestRunFlowReportsClosedListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	request := FlowRequest{Address: listener.Addr().String(), Timeout: time.Second}
	if got := RunFlow(t.Context(), request); got.Answer != ConnectFailed {
		t.Errorf("got %+v, want %q", got, ConnectFailed)
	}
}

// A host that does not echo lines would make each flow of a run look cut off.
func TestHostEchoesLinesOfFlow(t *testing.T) {
	hosts, err := StartHosts(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(hosts.Close)
	request := FlowRequest{Address: hosts.EndpointList(1).Hosts[0].Address, ID: "1", Timeout: 5 * time.Second, Lines: 3}
	want := Flow{Answer: Established, Answers: 1, Ended: EndedByClient}
	if got := RunFlow(t.Context(), request); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
