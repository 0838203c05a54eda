// Package wire holds the messages among the members of a fleet, generated from wire.proto by protoc. Numbers and types of
// the fields are fixed: nodes of several versions exchange these messages. The package has no logic; the packages
// membership and fleet give the messages their meaning.
package wire
