//go:build hasty

package membership

// shortSuspicionMutant is true in the mutant build with the tag hasty, in which suspicions expire almost at once and
// Lifeguard is off. The build shows that the checkers of the rig detect false deaths.
const shortSuspicionMutant = true
