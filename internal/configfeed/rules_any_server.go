//go:build !oneserver

package configfeed

// oneServer is false in every build but the wrong one of the rig's tests.
const oneServer = false
