// Package feedhttp distributes configuration over HTTP: it runs the state machines of package configfeed, called
// cores, with real requests, timers and a disk. Requests and answers are JSON. Both carry a message authentication code
// (MAC) that is computed with a key of the fleet.
//
// The package owns the goroutines and connections of a control server, a follower and an operator's client, and defines
// the format of the calls. Package configfeed makes all decisions about versions.
package feedhttp
