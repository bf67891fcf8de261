package registry

// This file defines the interfaces of the clients, and creates the client of a dialect.

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"weirwind/internal/roster"
)

// Options configure the client of a registry. They come from the operators' file, which has validated them.
type Options struct {
	Dialect         string   // "consul"; etcd otherwise
	Endpoints       []string // URLs without a path
	Prefix          string   // prefix of the members' keys
	Service         string   // Consul: read the members from this service's instances; empty: read them from keys
	CredentialsFile string   // name:password (etcd) or a token (Consul); empty for none
	CAFile          string   // PEM; empty for the system's certificates
	WatchTimeout    time.Duration
}

// Client reads members. A call goes to one endpoint, given by its index, and ends with its context. deliver is called
// with each update, in order, by the caller's goroutine. ResultOf maps the error.
type Client interface {
	// List delivers all members: the registry's newest state if linearizable, or else the state of any server.
	List(ctx context.Context, endpoint int, linearizable bool, deliver func(roster.Update)) error
	// Watch delivers the changes from a revision on, until an error occurs. active is called for each message.
	Watch(ctx context.Context, endpoint int, from int64, active func(), deliver func(roster.Update)) error
}

// LeaseClient keeps a key registered. Its calls take an endpoint like those of Client. PresenceResultOf maps the
// errors.
type LeaseClient interface {
	// Grant creates the key under a new lease, and returns the lease with the time to live that was granted.
	Grant(ctx context.Context, endpoint int, key string, value []byte, ttl time.Duration) (lease string,
		granted time.Duration, err error)
	// Renew restarts a lease's time to live, and returns it.
	Renew(ctx context.Context, endpoint int, lease string) (granted time.Duration, err error)
	// Revoke ends a lease and deletes its key.
	Revoke(ctx context.Context, endpoint int, lease string) error
}

// Backend is the client of one dialect.
type Backend interface {
	Client
	LeaseClient
}

// New returns a client. It opens no connection, and fails only if the certificates can't be read.
func New(options Options) (Backend, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: connectTimeout,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	if options.CAFile != "" {
		roots, err := readCertificates(options.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	}
	c := &caller{options: options, http: http.Client{Transport: transport}}
	if options.Dialect == "consul" {
		return &consul{caller: c}, nil
	}
	return &etcd{caller: c, tokens: map[int]string{}}, nil
}

func readCertificates(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: no certificate found", file)
	}
	return roots, nil
}
