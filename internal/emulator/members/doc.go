// Package members simulates fleets of membership cores on a virtual clock and injects faults. It runs hundreds of instances
// of the core of real nodes, and measures how soon a death is detected, how often a live member is declared dead, and what
// a fleet costs at rest. All figures are simulated: there is no network, and messages are passed between the cores in one
// goroutine.
package members
