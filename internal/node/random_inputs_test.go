package node

import (
	"fmt"
	"math/rand/v2"
)

// applyRandomInputs plays a random sequence of what clients, hosts and operators may do, and checks the figures after each.
func applyRandomInputs(w *testHarness, chance *rand.Rand, steps int) {
	var clients, hosts []Conn
	pick := func(from []Conn) Conn { return from[chance.IntN(len(from))] }
	for range steps {
		switch chance.IntN(9) {
		case 0, 1:
			clients = append(clients, w.openFlow([]string{chatRequest, orderRequest, "b3 c=mail,d=700", "HELLO"}[chance.IntN(4)]))
		case 2, 3:
			for _, h := range w.flowDials {
				if w.connectionState[h] == "dialed" {
					w.blocked[h] = chance.IntN(4) == 0
					w.completeDial(h)
					hosts = append(hosts, h)
				}
			}
		case 4:
			if len(hosts) > 0 {
				if h := pick(hosts); w.pendingReads[h] != nil && w.node.connections.byID[h] != nil {
					w.receive(h, []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}[chance.IntN(7)],
						End(max(0, chance.IntN(5)-2)))
				}
			}
		case 5:
			if len(clients) > 0 {
				if c := pick(clients); w.pendingReads[c] != nil && w.node.connections.byID[c] != nil {
					w.receive(c, []string{"", "M 1\r\n"}[chance.IntN(2)], End(chance.IntN(3)))
				}
			}
		case 6:
			for _, held := range w.blockedWrites {
				if w.node.connections.byID[held.Conn] != nil {
					held.Failed = chance.IntN(2) == 0
					w.apply(held)
				}
			}
			w.blockedWrites = w.blockedWrites[:0]
		case 7:
			w.now += 0.3 * chance.Float64()
			w.apply(TimerFired{})
		case 8:
			w.query([]Question{DisableHost, EnableHost}[chance.IntN(2)], fmt.Sprintf("s-%08x", 100+chance.IntN(4)))
		}
		w.checkedFigures()
	}
}
