// Package discovery is the client of the platform's discovery service: it reads the list of members, complete or as a
// watch on what changes, over one HTTP/1.1 connection that is kept between calls. It makes one call at a time, never
// retries, and keeps no list: what a response means to the driver is decided elsewhere.
package discovery
