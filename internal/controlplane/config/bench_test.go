package config

import (
	"fmt"
	"strings"
	"testing"
)

// sharedDeployment returns a configuration as large as that of the largest deployment: 83 tenants, 30 services, 70
// routes.
func sharedDeployment() []byte {
	var routes, services, tenants []string
	for i := range 70 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%06d","host":"host%d","prefix":"/","type":"self","timeoutMs":1000,`+
			`"targetMs":600,"prio":2,"svc":"svc%d","tries":2,"maxStaleMs":2500}`, i, i, i%30))
	}
	for i := range 30 {
		services = append(services, fmt.Sprintf(`{"name":"svc%d","check":"/health","maxConns":380,"proto":"own","tls":false,`+
			`"syncN":1}`, i))
	}
	for i := range 83 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"tenant%d","keys":["key-a-%06d","key-b-%06d"],"prio":%d,`+
			`"perS":%d.5,"burst":%d}`, i, i, i, i%3, i, 2*i))
	}
	return fmt.Appendf(nil, `{"gen":1,"routes":[%s],"svcs":[%s],"limits":{"hdrBytes":16384,"bodyBytes":262144,"hdrMs":3000,`+
		`"idleMs":15000,"txIdleMs":3000},"tenants":[%s]}`,
		strings.Join(routes, ","), strings.Join(services, ","), strings.Join(tenants, ","))
}

func BenchmarkParse(b *testing.B) {
	raw := sharedDeployment()
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAmend measures the cost of a change at the leader: amending, validating and encoding the log entry.
func BenchmarkAmend(b *testing.B) {
	state := &State{Version: 1, Raw: sharedDeployment()}
	for i := range maxHistory {
		state.History = append(state.History, AppliedChange{Version: uint64(i), Origin: "core-busan-haeundae-1"})
	}
	change := &Change{Amend: true, BaseVersion: 1,
		Body: []byte(`{"gen":2,"upsert":{"tenants":[{"name":"tenant1","keys":["k"],"perS":5,"burst":5}]}}`)}
	b.ReportAllocs()
	var encoded int
	for b.Loop() {
		next, err := state.Apply(change, "core-1", 0)
		if err != nil {
			b.Fatal(err)
		}
		value, err := next.Encode()
		if err != nil {
			b.Fatal(err)
		}
		encoded = len(value)
	}
	b.ReportMetric(float64(encoded), "entry-bytes")
}
