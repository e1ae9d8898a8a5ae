// Package clients provides clients that send what no sound client sends, for tests of processes that must
// outlast them. Each client opens a connection and sends its form until the connection ends; with Run it then
// comes again.
package clients

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Form is what a client sends on one connection.
type Form struct {
	Name string
	// Send sends on a connection until that ends; an error says that it has.
	Send func(ctx context.Context, c net.Conn) error
	// Unread leaves what the other end sends unread.
	Unread bool
}

const (
	// pieceSize is in bytes; what has no end is sent in such pieces.
	pieceSize = 16 << 10
	// headSize is the length, in bytes, of heads that end: near the most that a server of net/http takes by default here.
	headSize = 57 << 10
	// slowPause is the time between two pieces of slow forms.
	slowPause = time.Second
)

// endless sends a beginning and then one text again and again.
func endless(name, beginning, text string) Form {
	piece := strings.Repeat(text, max(1, pieceSize/len(text)))
	return Form{Name: name, Send: func(_ context.Context, c net.Conn) error {
		_, err := io.WriteString(c, beginning)
		for err == nil {
			_, err = io.WriteString(c, piece)
		}
		return err
	}}
}

// repeated sends whole requests one after the other.
func repeated(name, request string) Form { return endless(name, "", request) }

// silent sends a text and then nothing until the connection ends.
func silent(name, text string) Form { return paced(name, text, "") }

// paced sends a text, and then another one after each pause.
func paced(name, text, next string) Form {
	return Form{Name: name, Send: func(ctx context.Context, c net.Conn) error {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(slowPause):
			}
			if _, err := io.WriteString(c, next); err != nil {
				return err
			}
		}
	}}
}

// DistinctFields returns header lines of three to eight bytes with names that occur once, of about the given
// length together: the shape in which a head takes most memory.
func DistinctFields(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// distinctFields sends a head of distinct fields without end.
func distinctFields(head string) Form {
	return Form{Name: "distinct fields without end", Send: func(_ context.Context, c net.Conn) error {
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, manyFields())
		}
		return err
	}}
}

var manyFields = sync.OnceValue(func() string { return DistinctFields(1 << 20) })

// HeadForms returns forms that concern the heads of requests. head is a request's line and fields, each with its end.
func HeadForms(head string) []Form {
	method, _, _ := strings.Cut(head, " ")
	get := strings.Replace(head, method+" ", "GET ", 1)
	filled := func(fields string) string { return get + fields + "\r\n" }
	return []Form{
		distinctFields(get),
		repeated("whole heads of distinct fields", filled(DistinctFields(headSize))),
		endless("one field without end", get, "a: b\r\n"),
		endless("one line without end", get+"A: ", "x"),
		endless("request line without end", "GET /", "a"),
		endless("empty lines without end", "", "\r\n"),
		endless("empty lines after a request", get+"\r\n", "\r\n"),
		endless("folded lines without end", get+"A: b\r\n", " c\r\n"),
		endless("NUL bytes", "", "\x00"),
		repeated("cookies", filled("Cookie: "+strings.Repeat("a=b; ", headSize/5)+"\r\n")),
		repeated("target of 57 KB", "GET http://h/"+strings.Repeat("a", headSize)+get[strings.Index(get, " HTTP/"):]+"\r\n"),
		silent("half a head", get+DistinctFields(headSize/2)),
		paced("a byte a second", get, "A"),
		paced("a field a second", get, "A: b\r\n"),
		reopened(get),
	}
}

// OddForms returns forms that are no HTTP/1.1, or ask for what isn't served.
func OddForms(head string) []Form {
	fields := head[strings.Index(head, "\r\n")+2:]
	return []Form{
		silent("HTTP 2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"),
		silent("TLS hello", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"+strings.Repeat("\x2a", 500)),
		silent("HTTP 0.9", "GET /\r\n"),
		silent("HTTP 1.0", "GET / HTTP/1.0\r\n"+fields+"\r\n"),
		repeated("CONNECT", "CONNECT h:80 HTTP/1.1\r\n"+fields+"\r\n"),
		repeated("Upgrade", strings.Replace(head, "POST ", "GET ", 1)+"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"),
		silent("Expect without a body", head+"Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n"),
	}
}

// BodyForms returns forms that concern the bodies of requests, and requests whose answers nobody reads.
func BodyForms(head, promptField string) []Form {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	pipelined := repeated("pipelined requests, answers unread", head+"Content-Length: 1\r\n\r\nx")
	pipelined.Unread = true
	return []Form{
		endless("tiny chunks without end", chunked, "1\r\nx\r\n"),
		endless("chunk extension without end", chunked+"1;", "x"),
		endless("trailers without end", chunked+"0\r\n", "A: b\r\n"),
		{Name: "distinct trailers without end", Send: distinctFields(chunked + "0\r\n").Send},
		silent("a body that never comes", head+"Content-Length: 4000000\r\n\r\n"),
		endless("a body longer than stated", head+"Content-Length: 5\r\n\r\nwhole", "x"),
		repeated("prompt parts", head+promptField+": "+strings.Repeat("ab:1,", headSize/5)+"\r\nContent-Length: 1\r\n\r\nx"),
		pipelined,
	}
}

// HoldForms returns forms of clients that keep a connection in use for as long as they may.
func HoldForms(head string) []Form {
	get := strings.Replace(head, "POST ", "GET ", 1)
	unread := repeated("answers unread", get+"\r\n")
	unread.Unread = true
	return []Form{
		silent("a short body that never comes", head+"Content-Length: 100\r\n\r\n"),
		silent("a chunk that never comes", head+"Transfer-Encoding: chunked\r\n\r\n"),
		unread,
	}
}

// DistinctNames returns members of a JSON object with names that occur once, of about the given length together.
func DistinctNames(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`"` + strconv.FormatInt(int64(i), 36) + `":1`)
	}
	return b.String()
}

// WholeBodies returns a form that sends whole requests with one body, one after the other.
func WholeBodies(name, head, body string) Form {
	return repeated(name, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// reopened sends a part of a head and opens a new connection at once, many times over.
func reopened(head string) Form {
	const open = 8 // connections that a client holds at once
	return Form{Name: "connections opened again at once", Send: func(ctx context.Context, c net.Conn) error {
		var held []net.Conn
		defer func() {
			for _, o := range held {
				o.Close()
			}
		}()
		_, err := io.WriteString(c, head)
		for err == nil && ctx.Err() == nil {
			var o net.Conn
			if o, err = net.DialTimeout("tcp4", c.RemoteAddr().String(), time.Second); err != nil {
				return err
			}
			_, _ = io.WriteString(o, head) // the other end may have closed it
			if held = append(held, o); len(held) > open {
				held[0].Close()
				held = held[1:]
			}
		}
		return err
	}}
}

// Run lets clients send a form to an address until the context ends. It returns the number of connections that
// they opened.
func Run(ctx context.Context, address string, clients int, f Form) (opened int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				if f.client(ctx, address) {
					mu.Lock()
					opened++
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return opened
}

// Hold lets each client send a form on one connection, until that or the context ends.
func Hold(ctx context.Context, address string, clients int, f Form) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { f.client(ctx, address) })
	}
	all.Wait()
}

// client opens a connection and sends the form on it. It returns false without one.
func (f Form) client(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return false
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	if !f.Unread {
		go func() {
			_, _ = io.Copy(io.Discard, c) // until the connection ends
			c.Close()
		}()
	}
	_ = f.Send(ctx, c) // the connection has ended
	return true
}

// Datagrams sends datagrams of random bytes, each behind one of the prefixes, to an address until the context ends.
func Datagrams(ctx context.Context, address string, clients int, prefixes ...string) error {
	errs := make(chan error, clients)
	for i := range clients {
		go func() {
			errs <- func() error {
				c, err := net.Dial("udp4", address)
				if err != nil {
					return err
				}
				defer c.Close()
				for n := i; ctx.Err() == nil; n++ {
					text := prefixes[n%len(prefixes)] + strings.Repeat(fmt.Sprint(n*2654435761), 1+n%100)
					_, _ = c.Write([]byte(text[:min(len(text), 1200)])) // a refusal is reported by the next one
				}
				return nil
			}()
		}()
	}
	for range clients {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}
