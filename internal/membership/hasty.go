//go:build hasty

package membership

// hasty is the wrong core that the rig's checkers are shown to catch: it gives nobody time to answer.
const hasty = true
