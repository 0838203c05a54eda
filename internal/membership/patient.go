//go:build !hasty

package membership

// hasty is false in every build that serves; see hasty.go.
const hasty = false
