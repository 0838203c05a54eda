//go:build oneserver

package configfeed

// singleServerBuild builds followers that poll one server only, to show that the rig finds it out.
const singleServerBuild = true
