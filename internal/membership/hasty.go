//go:build hasty

package membership

// hasty makes the core deliberately wrong, to show that the rig's checkers catch it: suspicions expire almost at once.
const hasty = true
