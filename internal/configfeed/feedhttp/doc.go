// Package feedhttp carries the distribution of configuration over HTTP: it runs the cores of package configfeed with
// real requests, timers and a disk. Requests and answers are JSON, and a keyed MAC of the fleet authenticates both.
package feedhttp
