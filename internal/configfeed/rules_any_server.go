//go:build !oneserver

package configfeed

// singleServerBuild is true only in the mutant build for the rig's tests.
const singleServerBuild = false
