package registry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/golden"
)

// scriptedTransport returns prepared responses in order and records the requests.
type scriptedTransport struct {
	answers []string // each: status, a space, headers separated by "; ", a newline, the body
	sent    []string
}

// randomWaitPattern matches the random wait time of Consul's blocking queries.
var randomWaitPattern = regexp.MustCompile(`wait=\d+ms`)

func (s *scriptedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	s.sent = append(s.sent, fmt.Sprintf("%s %s %v %s", request.Method, randomWaitPattern.ReplaceAllString(request.URL.String(), "wait=X"), request.Header, body))
	if len(s.answers) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	head, text, _ := strings.Cut(s.answers[0], "\n")
	s.answers = s.answers[1:]
	code, headers, _ := strings.Cut(head, " ")
	response := &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Request: request}
	fmt.Sscan(code, &response.StatusCode)
	for _, h := range strings.Split(headers, "; ") {
		name, value, _ := strings.Cut(h, ": ")
		response.Header.Set(name, value)
	}
	return response, nil
}

const (
	validEntry       = `{"host_port":"h:1","locality":"a","cell":3,"phase":"up","access":"writer","up_since_ms":5}`
	validEntryBase64 = "eyJob3N0X3BvcnQiOiJoOjEiLCJsb2NhbGl0eSI6ImEiLCJjZWxsIjozLCJwaGFzZSI6InVwIiwiYWNjZXNzIjoid3JpdGVyIiwidXBfc2luY2VfbXMiOjV9"
)

func etcdKeyText(key, value, revision string) string {
	return fmt.Sprintf(`{"key":%q,"value":%q,"mod_revision":%q}`, key, value, revision)
}

// Every call in both dialects: the request, the delivered updates, and the mapped error must match the recorded ones.
// No socket is opened.
func TestRecordedDialects(t *testing.T) {
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("driver:right\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	read := func(linearizable bool) func(Backend, func(roster.Update)) error {
		return func(d Backend, deliver func(roster.Update)) error { return d.List(ctx, 0, linearizable, deliver) }
	}
	watch := func(d Backend, deliver func(roster.Update)) error {
		return d.Watch(ctx, 0, 5, func() { deliver(roster.Update{Epoch: "sign"}) }, deliver)
	}
	grant := func(d Backend, deliver func(roster.Update)) error {
		lease, ttl, err := d.Grant(ctx, 0, "d/n0", []byte(`{"phase":"up"}`), 12*time.Second)
		deliver(roster.Update{Epoch: lease, Revision: int64(ttl)})
		return err
	}
	renew := func(d Backend, deliver func(roster.Update)) error {
		ttl, err := d.Renew(ctx, 0, "17/8")
		deliver(roster.Update{Revision: int64(ttl)})
		return err
	}
	revoke := func(d Backend, _ func(roster.Update)) error { return d.Revoke(ctx, 0, "17/8") }
	header := `"header":{"cluster_id":"c1","revision":"9"}`
	k1, k2 := etcdKeyText("cC9h", validEntryBase64, "4"), etcdKeyText("cC9i", "e30=", "6")
	message := func(rest string) string { return `{"result":{` + header + rest + `}}` }
	var cases []golden.Case[string]
	for _, c := range []struct {
		name, dialect, service string
		secret                 bool
		call                   func(Backend, func(roster.Update)) error
		answers                []string
	}{
		{"read by pages", "etcd", "", false, read(true), []string{
			"200 \n{" + header + `,"kvs":[` + k1 + `],"more":true}`, "200 \n{" + header + `,"kvs":[` + k2 + `]}`}},
		{"read without a revision", "etcd", "", false, read(false), []string{"200 \n{}"}},
		{"read of no JSON", "etcd", "", false, read(false), []string{"200 \n{"}},
		{"read refused", "etcd", "", false, read(false), []string{`403 ` + "\n" + `{"code":7,"message":"permission denied"}`}},
		{"read of an odd status", "etcd", "", false, read(false), []string{"500 \nnothing"}},
		{"read cut off", "etcd", "", false, read(false), nil},
		{"read with a token that expires", "etcd", "", true, read(true), []string{"200 \n" + `{"token":"t1"}`,
			"401 \n" + `{"code":16,"message":"invalid auth token"}`, "200 \n" + `{"token":"t2"}`, "200 \n{" + header + `}`}},
		{"read without a token", "etcd", "", true, read(true), []string{"400 \nwrong"}},
		{"watch", "etcd", "", false, watch, []string{"200 \n" + message(`,"created":true`) +
			message(`,"events":[{"kv":`+k2+`},{"type":"DELETE","kv":`+etcdKeyText("cC9j", "", "7")+`}],"fragment":true`) +
			message(`,"events":[{"kv":`+etcdKeyText("cC9j", validEntryBase64, "7")+`}]`) + message("")}},
		{"watch compacted", "etcd", "", false, watch, []string{"200 \n" + message(`,"canceled":true,"compact_revision":"8"`)}},
		{"watch cancelled", "etcd", "", false, watch, []string{"200 \n" + message(`,"canceled":true,"cancel_reason":"why"`)}},
		{"watch forbidden", "etcd", "", false, watch, []string{"200 \n" + message(`,"canceled":true,"cancel_reason":"permission"`)}},
		{"watch behind", "etcd", "", false, watch, []string{"200 \n" + `{"result":{"created":true,"header":{"revision":"3"}}}`}},
		{"watch error", "etcd", "", false, watch, []string{"200 \n" + `{"error":{"code":11,"message":"required revision has been compacted"}}`}},
		{"watch ahead", "etcd", "", false, watch, []string{"400 \n" + `{"code":11,"message":"required revision is a future revision"}`}},
		{"grant", "etcd", "", true, grant, []string{"200 \n" + `{"token":"t1"}`, "200 \n" + `{"ID":"17","TTL":"12"}`, "200 \n" + `{"succeeded":true}`}},
		{"grant of a taken name", "etcd", "", false, grant, []string{"200 \n" + `{"ID":"17","TTL":"12"}`, "200 \n{}", "200 \n{}"}},
		{"renew", "etcd", "", false, renew, []string{"200 \n" + `{"result":{"TTL":"12"}}`}},
		{"renew of none", "etcd", "", false, renew, []string{"200 \n" + `{"result":{}}`}},
		{"renew error", "etcd", "", false, renew, []string{"200 \n" + `{"error":{"code":5,"message":"none"}}`}},
		{"revoke", "etcd", "", false, revoke, []string{"200 \n{}"}},
		{"read", "consul", "", true, read(true), []string{"200 X-Consul-Index: 9\n" +
			`[{"Key":"p/"},{"Key":"p/a","Value":"` + validEntryBase64 + `","ModifyIndex":4},{"Key":"p/b","Value":"e30=","ModifyIndex":5}]`}},
		{"read of nothing", "consul", "", false, read(false), []string{"404 X-Consul-Index: 9\n"}},
		{"read without an index", "consul", "", false, read(false), []string{"200 \n[]"}},
		{"read of no JSON", "consul", "", false, read(false), []string{"200 X-Consul-Index: 9\n{"}},
		{"read without a leader", "consul", "", false, read(false), []string{"200 X-Consul-KnownLeader: false; X-Consul-Index: 9\n[]"}},
		{"read refused", "consul", "", false, read(false), []string{"403 \nno"}},
		{"read of an odd status", "consul", "", false, read(false), []string{"500 \nno"}},
		{"watch", "consul", "", false, watch, []string{"200 X-Consul-Index: 4\n[]", "200 X-Consul-Index: 7\n[]", "200 X-Consul-Index: 3\n[]"}},
		{"service", "consul", "d b", false, read(false), []string{"200 X-Consul-Index: 9\n" +
			`[{"Node":{"Address":"n"},"Service":{"ID":"a","Port":7,"Meta":{"cell":" 3 ","access":"reader"}}},` +
			`{"Service":{"ID":"b","Address":"h","Port":7,"Meta":{"cell":"x"}},"Checks":[{"Status":"critical"}]},` +
			`{"Service":{"ID":"c","Address":"h","Port":7,"Meta":{"cell":"4","locality":"z"}},"Checks":[{"Status":"maintenance"}]}]`}},
		{"service that is none", "consul", "db", false, read(false), []string{"404 X-Consul-Index: 9\n"}},
		{"grant", "consul", "", true, grant, []string{"200 \n" + `{"ID":"s1"}`, "200 \ntrue\n"}},
		{"grant of a taken name", "consul", "", false, grant, []string{"200 \n" + `{"ID":"s1"}`, "200 \nfalse", "200 \ntrue"}},
		{"grant without a session", "consul", "", false, grant, []string{"200 \n{}"}},
		{"renew", "consul", "", false, renew, []string{"200 \n" + `[{"TTL":"12s"}]`}},
		{"renew of none", "consul", "", false, renew, []string{"404 \n"}},
		{"renew error", "consul", "", false, renew, []string{"500 \nno"}},
		{"revoke", "consul", "", false, revoke, []string{"200 \ntrue"}},
	} {
		options := Options{Dialect: c.dialect, Endpoints: []string{"http://e"}, Prefix: "p/", Service: c.service, WatchTimeout: time.Minute}
		if c.secret {
			options.CredentialsFile = secret
		}
		backend, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		transport := &scriptedTransport{answers: c.answers}
		setTransport(backend, transport)
		var delivered []string
		err = c.call(backend, func(u roster.Update) { delivered = append(delivered, fmt.Sprintf("%v", u)) })
		got := fmt.Sprintf("%s | %s | %v | %v %v", strings.Join(transport.sent, "; "), strings.Join(delivered, "; "), err, ResultOf(err), PresenceResultOf(err))
		cases = append(cases, golden.Of(c.dialect+" "+c.name, got))
	}
	golden.Text(t, "testdata/dialects.txt", cases)
}

func setTransport(d Backend, t http.RoundTripper) {
	switch x := d.(type) {
	case *etcd:
		x.http.Transport = t
	case *consul:
		x.http.Transport = t
	}
}
