//go:build hasty

package membership

// shortSuspicionMutant is true in the mutant build (build tag hasty), in which suspicions expire almost at once and
// Lifeguard's extensions are disabled. The mutant verifies that the checkers of the test rig detect false deaths.
const shortSuspicionMutant = true
