//go:build !hasty

package membership

// shortSuspicionMutant is false in every build that serves; see mutant_short_suspicion.go.
const shortSuspicionMutant = false
