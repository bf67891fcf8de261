package operator

// This file parses addresses.

import (
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// hostPort reads a peer's host:port.
func hostPort(r *reader, at hcl.Range, value cty.Value) (string, bool) {
	if value.IsNull() {
		r.problem(at, "null is no host:port of a driver.")
		return "", false
	}
	s := value.AsString()
	if _, _, err := net.SplitHostPort(s); err != nil {
		r.problem(at, "%q is no host:port of a driver.", s)
	}
	return s, true
}

// endpointURL reads an HTTP URL without a path.
func endpointURL(r *reader, at hcl.Range, value cty.Value) (string, bool) {
	if value.IsNull() {
		r.problem(at, "null is no URL of an endpoint.")
		return "", false
	}
	s := value.AsString()
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
		r.problem(at, "%q is no URL of an endpoint, such as https://10.0.0.5:2379.", s)
	}
	return strings.TrimSuffix(s, "/"), true
}

// seed reads a peer's IP:port.
func seed(r *reader, at hcl.Range, value cty.Value) (string, bool) {
	if value.IsNull() {
		r.problem(at, "seeds: null is no IP:port.")
		return "", false
	}
	r.address(at, "seeds", value.AsString())
	return value.AsString(), true
}

// address requires an IP and a port, which must be specific unless they are to listen at.
func (r *reader) address(at hcl.Range, name, address string) {
	if a, err := netip.ParseAddrPort(address); err != nil {
		r.problem(at, "%s: %q is no IP:port, such as 10.0.0.5:7434.", name, address)
	} else if name != "listen" && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		r.problem(at, "%s: nobody can be reached at %q.", name, address)
	}
}
