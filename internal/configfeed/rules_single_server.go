//go:build oneserver

package configfeed

// singleServerBuild makes this a mutant build, whose followers poll a single server: the rig's tests have to detect it.
const singleServerBuild = true
