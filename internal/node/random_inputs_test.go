package node

import (
	"fmt"
	"math/rand/v2"
)

// applyRandomInputs plays a random sequence of what clients, hosts and operators may do, and checks the figures after each.
func applyRandomInputs(harness *testHarness, chance *rand.Rand, steps int) {
	var clients, hosts []Conn
	pick := func(from []Conn) Conn { return from[chance.IntN(len(from))] }
	for range steps {
		switch chance.IntN(9) {
		case 0, 1:
			clients = append(clients, harness.openFlow([]string{chatRequest, orderRequest, "b3 c=mail,d=700", "HELLO"}[chance.IntN(4)]))
		case 2, 3:
			for _, h := range harness.flowDials {
				if harness.connectionState[h] == "dialed" {
					harness.blocked[h] = chance.IntN(4) == 0
					harness.completeDial(h)
					hosts = append(hosts, h)
				}
			}
		case 4:
			if len(hosts) > 0 {
				if h := pick(hosts); harness.pendingReads[h] != nil && harness.node.connections.byID[h] != nil {
					harness.receive(h, []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}[chance.IntN(7)],
						End(max(0, chance.IntN(5)-2)))
				}
			}
		case 5:
			if len(clients) > 0 {
				if c := pick(clients); harness.pendingReads[c] != nil && harness.node.connections.byID[c] != nil {
					harness.receive(c, []string{"", "M 1\r\n"}[chance.IntN(2)], End(chance.IntN(3)))
				}
			}
		case 6:
			for _, held := range harness.blockedWrites {
				if harness.node.connections.byID[held.Conn] != nil {
					held.Failed = chance.IntN(2) == 0
					harness.apply(held)
				}
			}
			harness.blockedWrites = harness.blockedWrites[:0]
		case 7:
			harness.now += 0.3 * chance.Float64()
			harness.apply(TimerFired{})
		case 8:
			harness.query([]Question{DisableHost, EnableHost}[chance.IntN(2)], fmt.Sprintf("s-%08x", 100+chance.IntN(4)))
		}
		harness.checkedFigures()
	}
}
