package weirctl

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
)

const (
	coreStatusJSON = `{"machine":"core-1","leader":"10.0.0.1:8782","leads":true,"term":7,"index":42,"gen":9,"syncs":11,"lastSyncMs":0.25,"mostSyncMs":12.5,
"voters":[{"ID":"v1","Addr":"10.0.0.1:8782"},{"ID":"v2","Addr":"10.0.0.2:8782"},{"ID":"v3","Addr":"10.0.0.3:8782"},{"ID":"v4","Addr":"10.0.0.4:8782"}],
"others":[{"ID":"v2","Addr":"x","Index":42,"Behind":false,"Silent":18.4},{"ID":"v3","Addr":"x","Index":40,"Behind":true,"Silent":1900.6},{"ID":"v4","Addr":"x","Index":0,"Behind":true,"Silent":-1}],
"members":[{"ID":"m1","Svc":"orders","Addr":"10.0.1.1:5432","Zone":"z1","Gen":"v1","Role":1,"Draining":false,"Gone":false},{"ID":"m2","Svc":"orders","Addr":"10.0.1.2:5432","Zone":"z2","Role":2,"Draining":true,"Gone":true},{"ID":"m3"}],
"drivers":[{"Name":"front-1"}],"successions":{"orders":"waits for m2"}}` + "\n"
	proxyStatusJSON  = `{"gen":9,"sessions":3,"drivers":4,"groups":{"orders":{"slot":"m1","why":"m1 by heartbeat","waiting":2,"connections":{"m1":5,"m2":1},"share":12.5}}}`
	sparseStatusJSON = `{"sessions":0,"groups":{"orders":{}}}`
	configLogJSON    = `[{"Gen":8,"Base":7,"Digest":[1,2,3,4,5,250,7],"Node":"core-1","At":1764600000000},{"Gen":9,"Base":8,"Digest":[9],"Node":"core-2","At":1764600060000}]`
	shardsJSON       = `{"leads":true,"leader":"","map":{"version":5,"shards":{"s1":{"node":"a","epoch":3,"last":17},"s2":{"node":"b","epoch":1,"last":0}},
"tasks":[{"shard":"s1","from":"a","to":"b","bytes":100,"round":1,"fate":"waiting"},{"shard":"s2","from":"b","to":"a","bytes":70,"round":1,"fate":"failed","why":"no <room>"},{"shard":"s3","from":"b","to":"a","bytes":7,"round":2,"fate":"done"}],
"paused":true,"rules":{"perNode":1,"rate":8388608,"band":0.1,"reserve":0.05,"growth":0.1,"replans":3},"nodes":{"b":{"zone":"z2","state":"leaving"}}},
"nodes":{"a":{"limit":1000,"foreign":10,"free":300,"busy":1,"slots":4,"copies":{"s1":{"epoch":3,"state":"open","last":17,"held":500}}},"b":{"limit":2000,"foreign":0,"free":1900,"copies":{}}},
"runs":{"s1":"copies from a"},"moved":170,"gapsMs":[3,1,2.4],"points":[{"moved":0},{"moved":170}]}`
	sitesJSON      = `{"version":4,"sites":{"s1":{"addr":"x","http":"ADDR","zone":"z1","state":"in","epoch":2},"s2":{"http":"127.0.0.1:1","zone":"z2","state":"draining","epoch":1},"s3":{"http":"ADDR","zone":"z3","state":"out","epoch":9}}}`
	siteStatusJSON = `{"homes":3,"copies":4,"bytes":500,"givenUp":6,"edges":7}`
	clusterJSON    = `{"nodes":[{"id":"a","zone":"z1","limit":1000,"state":"in"},{"id":"b","zone":"z2","limit":1000,"state":"in"},{"id":"c","zone":"z3","limit":1000,"state":"in"}],"shards":[{"id":"s1","size":300,"on":["a"]},{"id":"s2","size":300,"on":["a"]},{"id":"s3","size":200,"on":["a"]}],"rules":{"band":0.25,"reserve":0.125,"round":2}}`
	configJSON     = `{"gen":10,"routes":[{"host":"db","svc":"orders"}],"svcs":[{"name":"orders"}],"limits":{"txIdleMs":1000}}`
)

// newFakeMachines returns a server that answers the calls of weirctl for all kinds of machines. It writes calls with a
// query or a method other than GET to calls.
func newFakeMachines(calls *strings.Builder) *httptest.Server {
	answers := map[string]string{"/status": coreStatusJSON, "/config/log": configLogJSON, "/shards": shardsJSON,
		"/config/show": `{"gen":9,"routes":[],"svcs":[]}`,
		"/events":      "1 core \"E501\"\n2 core \"E502\"\n", "/sessions/id1": `{"session":"id1"}` + "\n", "/proxy/status": proxyStatusJSON, "/odd/status": sparseStatusJSON}
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, addr := r.URL.Path, server.Listener.Addr().String()
		if strings.HasPrefix(path, "/lost") {
			http.Error(w, "no contact\n", http.StatusServiceUnavailable)
			return
		}
		body, _ := io.ReadAll(r.Body)
		if r.URL.RawQuery != "" || r.Method != http.MethodGet {
			fmt.Fprintf(calls, "  call %s %s %s\n", r.Method, r.URL.RequestURI(), body)
		}
		switch {
		case r.Method == http.MethodPost:
			io.WriteString(w, "taken\n")
		case path == "/sites":
			io.WriteString(w, strings.ReplaceAll(sitesJSON, "ADDR", addr+"/site"))
		case path == "/site/status":
			io.WriteString(w, siteStatusJSON)
		case path == "/site/sessions/id1":
			io.WriteString(w, answers["/sessions/id1"])
		case path == "/follower/shards":
			fmt.Fprintf(w, `{"leads":false,"leader":%q}`, addr)
		case path == "/orphan/shards", path == "/empty/sites":
			io.WriteString(w, `{}`)
		case path == "/empty/shards":
			io.WriteString(w, `{"leads":true}`)
		case answers[path] != "":
			io.WriteString(w, answers[path])
		default:
			http.NotFound(w, r)
		}
	})
	server.Start()
	return server
}

// writeDisk creates the folder of a stopped core machine.
func writeDisk(t *testing.T, folder string, commit uint64) {
	t.Helper()
	disk, _, _, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	value, err := cbor.Marshal(map[int]any{})
	if err != nil {
		t.Fatal(err)
	}
	voters := []consensus.Voter{{ID: "v1", Addr: "10.0.0.1:8782"}, {ID: "v2", Addr: "10.0.0.2:8782"}}
	last := consensus.Entry{Term: 6, Index: 42, Voters: voters, Value: value}
	hardState := consensus.HardState{ID: "v1", Term: 7, Last: last, Commit: commit, CommitTerm: 6}
	if err := disk.Save(&hardState); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Compares the exit code, output, errors and requests of every command line with testdata/calls.txt; GOLDEN=write
// rewrites the file. ADDR stands for a machine that answers with the constants above, DIR for a folder.
func TestCommandsMatchRecordedOutput(t *testing.T) {
	var calls strings.Builder
	server := newFakeMachines(&calls)
	defer server.Close()
	dir, addr := t.TempDir(), server.Listener.Addr().String()
	file := func(name string) string { return filepath.Join(dir, name) }
	writeDisk(t, file("disk"), 42)
	writeDisk(t, file("behind"), 41)
	writeFile(t, file("config.json"), configJSON)
	writeFile(t, file("cluster.json"), clusterJSON)
	writeFile(t, file("rules.json"), `{"perNode":2,"rate":1000}`)
	writeFile(t, file("found.json"), `{"shards":{"s1":"a"},"nodes":{"a":{"zone":"z1","state":"in"}}}`)
	writeFile(t, file("bad.json"), `{"unknown":1}`)
	var transcript strings.Builder
	var usage bytes.Buffer
	printUsage(&usage)
	for _, line := range strings.Split(strings.TrimSpace(goldenCalls), "\n") {
		args := strings.Fields(strings.NewReplacer("ADDR", addr, "DIR", dir).Replace(line))
		var out, errs bytes.Buffer
		calls.Reset()
		code := Main(args, &out, &errs)
		fmt.Fprintf(&transcript, "$ weirctl %s\n%s", line, calls.String())
		if errs.String() == usage.String() {
			errs.Reset()
			errs.WriteString("(usage)\n")
		}
		fmt.Fprintf(&transcript, "exit %d\n%s%s", code, out.String(), errs.String())
	}
	page, err := os.ReadFile(file("page.html"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&transcript, "page.html:\n%s", page)
	got := strings.NewReplacer(addr, "ADDR", dir, "DIR").Replace(transcript.String())
	const golden = "testdata/calls.txt"
	if os.Getenv("GOLDEN") == "write" {
		writeFile(t, golden, got)
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("line %d differs; all:\n%s", i+1, got)
		}
	}
}

const goldenCalls = `
help
-h
--help

status
state
nothing here
status ADDR
status ADDR/proxy
status ADDR/odd ADDR
status -json ADDR ADDR/proxy
status -wrong ADDR
status ADDR/lost ADDR/proxy
status ADDR/config/none
explain
explain orders
explain orders ADDR ADDR
explain orders ADDR/lost
config
config check
config check DIR/config.json
config check DIR/bad.json
config check DIR/none.json
config log ADDR
config log ADDR/lost
config diff ADDR DIR/config.json
config diff ADDR DIR/none.json
config diff ADDR/lost DIR/config.json
config other ADDR
members forget ADDR m/1
members forget ADDR
members forget ADDR/lost m1
members forget ADDR m1 m2
shards
shards found
shards found ADDR
shards found ADDR DIR/found.json
shards found ADDR DIR/bad.json
shards found ADDR DIR/none.json
shards found ADDR/lost DIR/found.json
shards status ADDR
shards status ADDR/follower
shards status ADDR/orphan
shards status ADDR/empty
shards status ADDR/lost
shards status -json ADDR
shards status -wrong ADDR
shards status ADDR ADDR
shards plan DIR/cluster.json
shards plan -json DIR/cluster.json
shards plan -at ADDR
shards plan -json -at ADDR
shards plan -at ADDR DIR/cluster.json
shards plan DIR/bad.json
shards plan DIR/none.json
shards plan -at ADDR/lost
shards apply ADDR
shards apply ADDR/lost
shards apply ADDR more
shards pause ADDR
shards resume ADDR
shards abort ADDR
shards abort ADDR/lost
shards mark ADDR a
shards mark ADDR a leaving
shards mark ADDR b in z9
shards mark ADDR b in z9 more
shards mark ADDR/lost a gone
shards rules ADDR DIR/rules.json
shards rules ADDR DIR/bad.json
shards rules ADDR
shards rules ADDR/lost DIR/rules.json
shards explain ADDR s1
shards explain ADDR s2
shards explain ADDR s9
shards explain ADDR
shards page ADDR DIR/page.html
shards page ADDR
shards page ADDR/lost DIR/none.html
shards other ADDR
sessions
sessions status
sessions status ADDR
sessions status ADDR/empty
sessions status ADDR/lost
sessions drain ADDR s1
sessions drain -pace 20 ADDR s/1
sessions drain -wrong ADDR s1
sessions drain ADDR
sessions undrain ADDR s1
sessions undrain ADDR
sessions show ADDR id1.secret
sessions show ADDR id2
sessions show ADDR
sessions show ADDR/empty id1
sessions other ADDR
state check DIR/disk
state check DIR/behind
state check DIR/none
state check
state export DIR/disk DIR/export
state export DIR/none DIR/export2
state export DIR/disk DIR/none/export
state export DIR/disk
state import DIR/export DIR/new 10.0.0.8:8782 10.0.0.8:8782 10.0.0.9:8782
state check DIR/new
state import DIR/export DIR/new 10.0.0.8:8782 10.0.0.8:8782
state import DIR/export DIR/new2 10.0.0.7:8782 10.0.0.8:8782
state import DIR/config.json DIR/new3 10.0.0.8:8782 10.0.0.8:8782
state import DIR/none DIR/new3 10.0.0.8:8782 10.0.0.8:8782
state import DIR/export DIR/new3 10.0.0.8:8782
state other DIR
`
