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

const nonceBytes = 16

// rejection says why a request or an answer is not accepted.
type rejection string

const (
	accepted   rejection = ""
	wrongFleet rejection = "fleet"
	wrongNonce rejection = "nonce"
	wrongMAC   rejection = "mac"
)

// authenticator computes and checks the keyed MAC of requests and answers. The answer's covers the nonce of its
// request, so that an old answer is not accepted for a new request.
type authenticator struct {
	fleet string
	keys  [][]byte // the first one signs requests, all are accepted
}

// newNonce returns a nonce that is not used again.
func newNonce() string {
	var nonce [nonceBytes]byte
	rand.Read(nonce[:]) // never fails: it ends the program where the system gives no random bytes
	return hex.EncodeToString(nonce[:])
}

// writeField adds a field with its length, so that no two lists of fields give the same bytes.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// sum returns the MAC of a message; the purpose tells requests from answers.
func (a *authenticator) sum(key []byte, purpose, method, target, nonce string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, field := range []string{purpose, method, target, a.fleet, nonce} {
		writeField(h, []byte(field))
	}
	writeField(h, body)
	return h.Sum(nil)
}

const requestPurpose = "request"

// answerPurpose makes the status code part of what is authenticated.
func answerPurpose(status int) string { return "answer " + http.StatusText(status) }

// signRequest sets the headers of a request with this body and returns its nonce.
func (a *authenticator) signRequest(r *http.Request, body []byte) (nonce string) {
	nonce = newNonce()
	r.Header.Set(headerFleet, a.fleet)
	r.Header.Set(headerNonce, nonce)
	mac := a.sum(a.keys[0], requestPurpose, r.Method, r.URL.RequestURI(), nonce, body)
	r.Header.Set(headerMAC, hex.EncodeToString(mac))
	return nonce
}

// checkRequest returns the key that a request was signed with, or why it is not accepted.
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

// signAnswer sets the header of the answer to a request that was signed with key.
func (a *authenticator) signAnswer(key []byte, r *http.Request, header http.Header, status int, body []byte) {
	nonce := r.Header.Get(headerNonce)
	mac := a.sum(key, answerPurpose(status), r.Method, r.URL.RequestURI(), nonce, body)
	header.Set(headerMAC, hex.EncodeToString(mac))
}

// checkAnswer says whether an answer is the one to the request with this nonce.
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
