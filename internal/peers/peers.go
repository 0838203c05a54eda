// Package peers is the form of the messages that nodes send one another: what one of them was told of hosts' loads.
// A message is a version and up to Most words of five bytes, so that nodes of two versions ignore each other.
package peers

import (
	"encoding/binary"
	"math"
)

const (
	messageVersion  = 1
	loadBytes       = 5
	loadStep        = 1.0 / 64 // of what a host can do; rounded up, lest one a little too busy is told as none
	MaxLoads        = 51       // words in a message
	MaxMessageBytes = 1 + MaxLoads*loadBytes
)

// HostLoad is one host's load, by its id: what is asked of it over what it can do.
type HostLoad struct {
	Host uint32
	Load float64
}

// Append adds a message with the words, of which it takes Most; loads are told up to four.
func Append(to []byte, words []HostLoad) []byte {
	to = append(to, messageVersion)
	for _, w := range words[:min(len(words), MaxLoads)] {
		to = binary.BigEndian.AppendUint32(to, w.Host)
		to = append(to, byte(math.Ceil(min(max(w.Load, 0)/loadStep, 255))))
	}
	return to
}

// Parse takes a message apart; nothing comes of one of another version or length.
func Parse(text []byte) (words []HostLoad) {
	if len(text) < 1 || len(text) > MaxMessageBytes || text[0] != messageVersion || len(text)%loadBytes != 1 {
		return nil
	}
	for text = text[1:]; len(text) > 0; text = text[loadBytes:] {
		words = append(words, HostLoad{binary.BigEndian.Uint32(text), float64(text[4]) * loadStep})
	}
	return words
}
