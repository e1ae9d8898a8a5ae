package settings

import (
	"fmt"
	"net/netip"
	"net/url"
)

// url checks a URL of the form "http://ip:port/path".
func (c *checker) url(field, v string, required bool) {
	if v == "" && !required {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		c.addProblem(field, fmt.Sprintf("%q", v), `"http://ip:port" or "https://ip:port"`)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.addProblem(field, fmt.Sprintf("%q", v), "an IP number and a port as host")
	}
}
