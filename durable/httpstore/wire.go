package httpstore

import (
	"net/url"
	"strconv"
	"strings"

	"goldcrestfork/durable"
)

// Object is one object of a listing or of a watch's line.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is the body of the reply to GET /objects/{kind}.
type Listing struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// WatchLine is one line of a watch. An empty line keeps the stream alive.
type WatchLine struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
	// Gone ends the stream, since the platform no longer keeps the requested events.
	Gone bool `json:"gone,omitempty"`
}

// VM is one entry of the reply to GET /vms, and the body of PUT /vms/{id}.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Path returns the URL path of an object, or of a kind if name is empty. The segments
// are query-escaped, since the servers' router unescapes them that way.
func Path(kind, name string) string {
	p := "/objects/" + url.QueryEscape(kind)
	if name != "" {
		p += "/" + url.QueryEscape(name)
	}
	return p
}

// FormatETag formats a version as an entity tag.
func FormatETag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// ParseETag returns the version in an entity tag, or an error if it holds no number.
func ParseETag(tag string) (int64, error) {
	return strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
}

func (l WatchLine) event(kind string) durable.Event {
	key := durable.Key{Kind: kind, Name: l.Name}
	return durable.Event{
		Object:  durable.Object{Key: key, Version: l.Version, Value: l.Value},
		Deleted: l.Deleted,
	}
}
