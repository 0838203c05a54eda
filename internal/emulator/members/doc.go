// Package members simulates fleets of membership cores on a virtual clock, with faults among them. It runs the same core
// that runs in service, by the hundred, and measures how soon a death is detected, how often a live member is declared
// dead, and what a fleet costs at rest. All its figures are simulated: there is no network, and messages are passed
// between cores in one goroutine.
package members
