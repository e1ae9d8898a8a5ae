package httpstore

import (
	"net/url"
	"strconv"
	"strings"

	"goldcrestfork/durable"
)

// Object is one object of a listing.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is the answer to GET /objects/{kind}.
type Listing struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Line is one line of a watch. An empty line in between keeps the stream alive.
type Line struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
	// Gone ends the stream: the events asked for are no longer kept.
	Gone bool `json:"gone,omitempty"`
}

// VM is one row of GET /vms and the body of PUT /vms/{id}.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Path gives the URL path of an object, or of a kind when name is empty.
// Segments are query-escaped, since that is what the servers' router undoes.
func Path(kind, name string) string {
	p := "/objects/" + url.QueryEscape(kind)
	if name != "" {
		p += "/" + url.QueryEscape(name)
	}
	return p
}

// Tag gives a version as an entity tag.
func Tag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// ParseTag gives the version of an entity tag.
func ParseTag(tag string) (int64, error) {
	return strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
}

func (l Line) event(kind string) durable.Event {
	key := durable.Key{Kind: kind, Name: l.Name}
	return durable.Event{
		Object:  durable.Object{Key: key, Version: l.Version, Value: l.Value},
		Deleted: l.Deleted,
	}
}
