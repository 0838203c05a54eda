// Package emulator is a discrete-event simulation of whole fleets: the cores of real nodes run on a virtual clock together
// with simulated clients, hosts, discovery, network and session store. The package owns the format of scripts, the
// simulated fleet, the faults that are injected into it, and the rules that are checked during a run. All random values
// are derived from one seed, so a script and a seed always produce the same trace. The package opens no socket, reads no
// real clock and starts no goroutine. Its figures are simulated and do not predict those of any particular platform.
package emulator
