//go:build !hasty

package membership

const hasty = false
