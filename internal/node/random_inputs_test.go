package node

import (
	"fmt"
	"math/rand/v2"
)

// randomInputs generates the inputs of clients, hosts and operators for a harness.
type randomInputs struct {
	*testHarness
	random         *rand.Rand
	clients, hosts []ConnID
}

// applyRandomInputs applies a random sequence of inputs and checks the statistics after each of them.
func applyRandomInputs(harness *testHarness, random *rand.Rand, steps int) {
	harness.Helper()
	inputs := &randomInputs{testHarness: harness, random: random}
	for range steps {
		inputs.applyOne()
		harness.checkedStatistics()
	}
}

func (inputs *randomInputs) applyOne() {
	inputs.Helper()
	switch inputs.random.IntN(9) {
	case 0, 1:
		requests := []string{chatRequest, orderRequest, "b3 c=mail,d=700", "HELLO"}
		request := requests[inputs.random.IntN(len(requests))]
		inputs.clients = append(inputs.clients, inputs.openFlow(request))
	case 2, 3:
		inputs.completeDials()
	case 4:
		inputs.receiveFromHost()
	case 5:
		inputs.receiveFromClient()
	case 6:
		inputs.completeBlockedWrites()
	case 7:
		inputs.now += 0.3 * inputs.random.Float64()
		inputs.apply(TimerFired{})
	case 8:
		question := []Question{DisableHost, EnableHost}[inputs.random.IntN(2)]
		inputs.query(question, fmt.Sprintf("s-%08x", 100+inputs.random.IntN(4)))
	}
}

func (inputs *randomInputs) completeDials() {
	inputs.Helper()
	for _, host := range inputs.flowDials {
		if inputs.connectionState[host] != "dialed" {
			continue
		}
		inputs.blocked[host] = inputs.random.IntN(4) == 0
		inputs.completeDial(host)
		inputs.hosts = append(inputs.hosts, host)
	}
}

func (inputs *randomInputs) receiveFromHost() {
	inputs.Helper()
	if len(inputs.hosts) == 0 {
		return
	}
	host := inputs.hosts[inputs.random.IntN(len(inputs.hosts))]
	if !inputs.isReadFrom(host) {
		return
	}
	texts := []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}
	text := texts[inputs.random.IntN(len(texts))]
	inputs.receive(host, text, StreamState(max(0, inputs.random.IntN(5)-2)))
}

func (inputs *randomInputs) receiveFromClient() {
	inputs.Helper()
	if len(inputs.clients) == 0 {
		return
	}
	client := inputs.clients[inputs.random.IntN(len(inputs.clients))]
	if !inputs.isReadFrom(client) {
		return
	}
	text := []string{"", "M 1\r\n"}[inputs.random.IntN(2)]
	inputs.receive(client, text, StreamState(inputs.random.IntN(3)))
}

func (inputs *randomInputs) completeBlockedWrites() {
	inputs.Helper()
	for _, done := range inputs.blockedWrites {
		if inputs.node.connections.byID[done.Conn] != nil {
			done.Failed = inputs.random.IntN(2) == 0
			inputs.apply(done)
		}
	}
	inputs.blockedWrites = inputs.blockedWrites[:0]
}
