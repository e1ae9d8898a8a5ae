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

// resumeToken names a stream that the caller may take up again at any VM. It is
// signed: a forged one would read another account's answer.
type resumeToken struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Version   string `cbor:"3,keyasint"`
	Endpoint  string `cbor:"4,keyasint"`
	// EngineID is the stream's id at the endpoint.
	EngineID string `cbor:"5,keyasint"`
	// Accepted is when the request was first taken, in seconds since 1970.
	Accepted int64 `cbor:"6,keyasint"`
}

// signer signs and reads resume tokens with a secret that all VMs share.
type signer struct{ secret []byte }

func (s signer) sum(payload []byte) []byte {
	m := hmac.New(sha256.New, s.secret)
	// The purpose is signed too, so that a session's pin never passes for a resume token.
	m.Write([]byte("resume\x00"))
	m.Write(payload)
	return m.Sum(nil)
}

func (s signer) sign(t resumeToken) string {
	// A struct of strings always encodes.
	payload, _ := cbor.Marshal(t)
	b64 := base64.RawURLEncoding
	return b64.EncodeToString(payload) + "." + b64.EncodeToString(s.sum(payload))
}

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

// readResume takes the headers of a request that goes on with a stream.
func (e *Entry) readResume(r *http.Request, c *chat) *refusal.Refusal {
	c.sign = e.signer.sign
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
	c.resume, c.from = &t, from
	// The same id, so that the bill stays one.
	c.RequestID, c.Accepted = t.RequestID, time.Unix(t.Accepted, 0)
	return nil
}
