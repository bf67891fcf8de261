// Package discovery is the client of the platform's discovery service: it reads the complete list of members, or
// watches changes of it, over one HTTP/1.1 connection that is reused between calls. It makes one call at a time, never
// retries, and stores no list: its callers apply the responses.
package discovery
