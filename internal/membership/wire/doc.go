// Package wire contains the messages that the members of a fleet exchange, generated from wire.proto by protoc. The numbers
// and types of the fields must not change, because nodes of several versions exchange these messages. The package has no
// logic; the packages membership and fleet implement the protocol.
package wire
