package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Answer is the outcome of a client's request to open a flow. The values are stored in histories.
type Answer string

// The answers. With ConnectFailed, Disconnected and TimedOut the client received no answer from the node.
const (
	Established   Answer = "up"      // the flow is established
	Busy          Answer = "busy"    // the node rejected the flow
	Failed        Answer = "failed"  // the node reported an error
	Disconnected  Answer = "cut"     // the connection ended without an answer
	TimedOut      Answer = "silent"  // no answer came in time
	ConnectFailed Answer = "no door" // the connection to the node failed
)

// Ending is how an established flow ended. The values are stored in histories.
type Ending string

// The endings.
const (
	EndedByClient Ending = "client" // all lines were answered
	EndedByMove   Ending = "move"   // the node asked the client to connect elsewhere
	EndedByCut    Ending = "cut"    // the connection broke
)

// echoTimeout is the time, in addition to the grace time, within which a line on an established flow must be echoed.
const echoTimeout = 5 * time.Second

// FlowRequest describes one client's flow.
type FlowRequest struct {
	Address string        // the node's client address
	ID      string        // identifies the flow at the host
	Key     uint64        // client key
	Timeout time.Duration // time within which the node is asked to answer; sent in milliseconds
	Grace   time.Duration // time after Timeout in which a late answer is still received
	Lines   int           // lines to send on the established flow, one after the other
	Gap     time.Duration // pause after each line
}

// Flow is the result of a client's flow.
type Flow struct {
	Answer  Answer
	Answers int    // number of final answers received; more than one is an error of the node
	Ended   Ending // empty if the flow was not established
}

// RunFlow opens a flow at a node, sends its lines and closes it. If the context ends, the flow is broken.
func RunFlow(ctx context.Context, request FlowRequest) Flow {
	began := time.Now()
	dialer := net.Dialer{Timeout: request.Timeout}
	connection, err := dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return Flow{Answer: ConnectFailed}
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()

	connection.SetDeadline(began.Add(request.Timeout + request.Grace))
	fmt.Fprintf(connection, "OPEN %s %x c=chat,d=%d\r\n", request.ID, request.Key, request.Timeout.Milliseconds())
	in := bufio.NewReader(connection)
	answer := readAnswer(in)
	switch answer {
	case Disconnected, TimedOut:
		return Flow{Answer: answer}
	case Established:
		return exchangeLines(ctx, connection, in, request)
	default:
		return Flow{Answer: answer, Answers: 1}
	}
}

// readAnswer reads the answer to a request to open a flow.
func readAnswer(in *bufio.Reader) Answer {
	line, err := in.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return TimedOut
	}
	if err != nil {
		return Disconnected
	}
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch word {
	case "UP":
		return Established
	case "BUSY":
		return Busy
	default:
		return Failed
	}
}

// exchangeLines sends the lines of an established flow and reads one line back for each.
func exchangeLines(ctx context.Context, connection net.Conn, in *bufio.Reader, request FlowRequest) Flow {
	flow := Flow{Answer: Established, Answers: 1}
	for number := range request.Lines {
		connection.SetDeadline(time.Now().Add(request.Grace + echoTimeout))
		if _, err := fmt.Fprintf(connection, "M %d\r\n", number); err != nil {
			flow.Ended = EndedByCut
			return flow
		}
		line, err := in.ReadString('\n')
		if err != nil {
			flow.Ended = EndedByCut
			return flow
		}
		text := strings.TrimSpace(line)
		if text == "MOVE" || text == "BYE" {
			flow.Ended = EndedByMove
			return flow
		}
		if isFinalAnswer(text) {
			flow.Answers++
		}
		select {
		case <-time.After(request.Gap):
		case <-ctx.Done():
		}
	}
	flow.Ended = EndedByClient
	return flow
}

// isFinalAnswer reports whether a line is a final answer to a request to open a flow.
func isFinalAnswer(line string) bool {
	for _, word := range []string{"UP", "BUSY", "ERR"} {
		if strings.HasPrefix(line, word) {
			return true
		}
	}
	return false
}
