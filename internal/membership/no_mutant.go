//go:build !hasty

package membership

// shortSuspicionMutant is false in production builds; see mutant_short_suspicion.go.
const shortSuspicionMutant = false
