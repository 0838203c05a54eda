// Package feedhttp distributes configuration over HTTP: it runs the state machines of package configfeed with real
// requests, timers and a disk. Requests and answers are JSON, and a keyed MAC of the fleet authenticates both.
//
// The package owns the goroutines and connections of a server, a follower and an operator's client, and the format of
// the calls. It makes no decision about versions: that is left to configfeed.
package feedhttp
