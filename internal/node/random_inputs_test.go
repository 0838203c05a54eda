package node

import (
	"fmt"
	"math/rand/v2"
)

// randomInputs draws what clients, hosts and operators of a harness do.
type randomInputs struct {
	*testHarness
	chance         *rand.Rand
	clients, hosts []ConnID
}

// applyRandomInputs applies a random sequence of inputs and checks the figures after each.
func applyRandomInputs(harness *testHarness, chance *rand.Rand, steps int) {
	harness.Helper()
	inputs := &randomInputs{testHarness: harness, chance: chance}
	for range steps {
		inputs.applyOne()
		harness.checkedFigures()
	}
}

func (inputs *randomInputs) applyOne() {
	inputs.Helper()
	switch inputs.chance.IntN(9) {
	case 0, 1:
		requests := []string{chatRequest, orderRequest, "b3 c=mail,d=700", "HELLO"}
		request := requests[inputs.chance.IntN(len(requests))]
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
		inputs.now += 0.3 * inputs.chance.Float64()
		inputs.apply(TimerFired{})
	case 8:
		question := []Question{DisableHost, EnableHost}[inputs.chance.IntN(2)]
		inputs.query(question, fmt.Sprintf("s-%08x", 100+inputs.chance.IntN(4)))
	}
}

func (inputs *randomInputs) completeDials() {
	inputs.Helper()
	for _, host := range inputs.flowDials {
		if inputs.connectionState[host] != "dialed" {
			continue
		}
		inputs.blocked[host] = inputs.chance.IntN(4) == 0
		inputs.completeDial(host)
		inputs.hosts = append(inputs.hosts, host)
	}
}

func (inputs *randomInputs) receiveFromHost() {
	inputs.Helper()
	if len(inputs.hosts) == 0 {
		return
	}
	host := inputs.hosts[inputs.chance.IntN(len(inputs.hosts))]
	if !inputs.isReadFrom(host) {
		return
	}
	texts := []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}
	text := texts[inputs.chance.IntN(len(texts))]
	inputs.receive(host, text, StreamState(max(0, inputs.chance.IntN(5)-2)))
}

func (inputs *randomInputs) receiveFromClient() {
	inputs.Helper()
	if len(inputs.clients) == 0 {
		return
	}
	client := inputs.clients[inputs.chance.IntN(len(inputs.clients))]
	if !inputs.isReadFrom(client) {
		return
	}
	text := []string{"", "M 1\r\n"}[inputs.chance.IntN(2)]
	inputs.receive(client, text, StreamState(inputs.chance.IntN(3)))
}

func (inputs *randomInputs) completeBlockedWrites() {
	inputs.Helper()
	for _, done := range inputs.blockedWrites {
		if inputs.node.connections.byID[done.Conn] != nil {
			done.Failed = inputs.chance.IntN(2) == 0
			inputs.apply(done)
		}
	}
	inputs.blockedWrites = inputs.blockedWrites[:0]
}
