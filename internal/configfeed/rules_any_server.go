//go:build !oneserver

package configfeed

// singleServerBuild is false in every build but the mutant of the rig's tests.
const singleServerBuild = false
