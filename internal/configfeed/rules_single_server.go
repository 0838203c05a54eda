//go:build oneserver

package configfeed

// singleServerBuild marks the mutant build, in which a follower never switches its server. The rig's tests have to
// detect this fault.
const singleServerBuild = true
