package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/router/refusal"
)

// resumeToken names a stream that the caller may resume at any VM. It is signed, since a
// forged token would give access to another account's answer.
type resumeToken struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Version   string `cbor:"3,keyasint"`
	Endpoint  string `cbor:"4,keyasint"`
	// EngineID is the stream's id at the endpoint.
	EngineID string `cbor:"5,keyasint"`
	// Accepted is when the request was first accepted, in seconds since 1970.
	Accepted int64 `cbor:"6,keyasint"`
}

// signer signs and verifies resume tokens with a secret that all VMs share.
type signer struct{ secret []byte }

func (s signer) sum(payload []byte) []byte {
	m := hmac.New(sha256.New, s.secret)
	// The purpose is signed too, so that a session token is never accepted as a resume
	// token.
	m.Write([]byte("resume\x00"))
	m.Write(payload)
	return m.Sum(nil)
}

func (s signer) sign(t resumeToken) string {
	// Encoding a struct of strings and integers can't fail.
	payload, _ := cbor.Marshal(t)
	b64 := base64.RawURLEncoding
	return b64.EncodeToString(payload) + "." + b64.EncodeToString(s.sum(payload))
}

// read verifies and decodes a token.
func (s signer) read(token string) (resumeToken, bool) {
	head, tail, ok := strings.Cut(token, ".")
	if !ok {
		return resumeToken{}, false
	}
	b64 := base64.RawURLEncoding
	payload, err1 := b64.DecodeString(head)
	sum, err2 := b64.DecodeString(tail)
	if err1 != nil || err2 != nil || !hmac.Equal(sum, s.sum(payload)) {
		return resumeToken{}, false
	}
	var t resumeToken
	if cbor.Unmarshal(payload, &t) != nil {
		return resumeToken{}, false
	}
	return t, true
}

// readResume reads the headers of a request that resumes a stream.
func (e *Entry) readResume(r *http.Request, c *chatRequest) *refusal.Refusal {
	c.signResume = e.signer.sign
	token := r.Header.Get(HeaderResume)
	if token == "" {
		return nil
	}
	t, ok := e.signer.read(token)
	if !ok || t.Account != c.Account.Name {
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s is not a token of this account", HeaderResume)
	}
	from, err := strconv.Atoi(r.Header.Get(HeaderPosition))
	if err != nil || from < 0 {
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s is the id of the last event, a number", HeaderPosition)
	}
	c.resume, c.resumeFrom = &t, from
	// The resumed request keeps the id, so that there is only one bill.
	c.RequestID, c.Accepted = t.RequestID, time.Unix(t.Accepted, 0)
	return nil
}
