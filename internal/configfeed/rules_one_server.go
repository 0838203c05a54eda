//go:build oneserver

package configfeed

// oneServer builds followers that poll one server only, to show that the rig finds it out.
const oneServer = true
