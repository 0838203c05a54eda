package feedhttp

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
)

// Headers that authenticate a request and its answer.
const (
	headerFleet = "Gorse-Fleet"
	headerNonce = "Gorse-Nonce"
	headerMAC   = "Gorse-Mac"
)

// nonceBytes is the length of a nonce before its encoding, in bytes.
const nonceBytes = 16

// rejection is the reason why a request or an answer is not authentic.
type rejection string

const (
	accepted   rejection = ""      // the message is authentic
	wrongFleet rejection = "fleet" // the message is from another fleet
	wrongNonce rejection = "nonce" // the nonce does not have the right length
	wrongMAC   rejection = "mac"   // the MAC does not match any of the keys
)

// authenticator computes and verifies the MACs of requests and answers. The MAC of an answer covers the nonce of its
// request, so that a replayed answer is not accepted for a new request.
type authenticator struct {
	fleet string   // identifier of the fleet
	keys  [][]byte // the first one signs requests; messages signed with any of them are accepted
}

// newNonce returns a random nonce in hexadecimal.
func newNonce() string {
	var nonce [nonceBytes]byte
	rand.Read(nonce[:]) // never returns an error: the program crashes if the system cannot provide random bytes
	return hex.EncodeToString(nonce[:])
}

// writeField adds the length of a field and the field to a hash, so that different lists of fields never hash the same
// bytes.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// sum returns the MAC of a message; the purpose distinguishes requests from answers.
func (a *authenticator) sum(key []byte, purpose, method, target, nonce string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, field := range []string{purpose, method, target, a.fleet, nonce} {
		writeField(h, []byte(field))
	}
	writeField(h, body)
	return h.Sum(nil)
}

// requestPurpose is the purpose with which requests are signed.
const requestPurpose = "request"

// answerPurpose returns the purpose with which answers of a status are signed. It includes the status, so that the MAC
// covers that too.
func answerPurpose(status int) string { return "answer " + http.StatusText(status) }

// signRequest sets the headers that authenticate a request with its body, and returns the nonce.
func (a *authenticator) signRequest(r *http.Request, body []byte) (nonce string) {
	nonce = newNonce()
	r.Header.Set(headerFleet, a.fleet)
	r.Header.Set(headerNonce, nonce)
	mac := a.sum(a.keys[0], requestPurpose, r.Method, r.URL.RequestURI(), nonce, body)
	r.Header.Set(headerMAC, hex.EncodeToString(mac))
	return nonce
}

// checkRequest returns the key that a request was signed with, or the reason why it is rejected.
func (a *authenticator) checkRequest(r *http.Request, body []byte) ([]byte, rejection) {
	nonce := r.Header.Get(headerNonce)
	mac, err := hex.DecodeString(r.Header.Get(headerMAC))
	switch {
	case r.Header.Get(headerFleet) != a.fleet:
		return nil, wrongFleet
	case len(nonce) != hex.EncodedLen(nonceBytes):
		return nil, wrongNonce
	case err != nil:
		return nil, wrongMAC
	}
	for _, key := range a.keys {
		if hmac.Equal(mac, a.sum(key, requestPurpose, r.Method, r.URL.RequestURI(), nonce, body)) {
			return key, accepted
		}
	}
	return nil, wrongMAC
}

// signAnswer sets the header that authenticates the answer to a request that was signed with key.
func (a *authenticator) signAnswer(key []byte, r *http.Request, header http.Header, status int, body []byte) {
	nonce := r.Header.Get(headerNonce)
	mac := a.sum(key, answerPurpose(status), r.Method, r.URL.RequestURI(), nonce, body)
	header.Set(headerMAC, hex.EncodeToString(mac))
}

// checkAnswer returns accepted if an answer is the authentic one to the request with a nonce, or else the reason why not.
func (a *authenticator) checkAnswer(r *http.Request, nonce string, answer *http.Response, body []byte) rejection {
	mac, err := hex.DecodeString(answer.Header.Get(headerMAC))
	if err != nil {
		return wrongMAC
	}
	for _, key := range a.keys {
		expected := a.sum(key, answerPurpose(answer.StatusCode), r.Method, r.URL.RequestURI(), nonce, body)
		if hmac.Equal(mac, expected) {
			return accepted
		}
	}
	return wrongMAC
}
