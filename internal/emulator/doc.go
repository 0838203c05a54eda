// Package emulator runs whole fleets on a virtual clock: real node cores with simulated clients, hosts, discovery, front
// and session store. It owns scripts, the simulated fleet, the faults that are injected into it, and the rules that are
// checked after each step. Everything that is random comes from one seed, so that a script and a seed always give the
// same trace. The package opens no socket, reads no real clock and starts no goroutine; its figures are simulated and
// imitate no platform.
package emulator
