package hollow

// This file owns hollow members: they send heartbeats over a few connections and answer status queries.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"weirwind/internal/member/wire"
)

// memberProcess runs members that send heartbeats and answer the leader's status queries; they execute no statements.
type memberProcess struct {
	childPlan
	addr                               string
	generation                         []atomic.Int32
	heartbeats, missed, sent, received atomic.Int64
}

// start starts listening for the leader's queries and sending heartbeats, until the process ends.
func (m *memberProcess) start() {
	ln, err := net.Listen("tcp4", net.JoinHostPort(m.coreIP(0), "0"))
	if err != nil {
		panic(err)
	}
	m.addr = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveStatus(c)
		}
	}()
	for k := range heartbeatConns {
		go m.sendHeartbeats(k)
	}
}

// serveStatus answers the leader's status queries with a primary in term 1 that has an empty log.
func serveStatus(conn net.Conn) {
	defer conn.Close()
	r := wire.NewReader(conn)
	if _, err := r.ReadMessage(); err != nil {
		return
	}
	answer := "READY I 1.0\r\n"
	for {
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if _, err := r.ReadMessage(); err != nil {
			return
		}
		answer = "ROW primary 1 1.0 1 0 0 1\r\nDONE -\r\nREADY I 1.0\r\n"
	}
}

// sendHeartbeats sends the heartbeats of one connection's members, each once per period and evenly spread.
func (m *memberProcess) sendHeartbeats(connIndex int) {
	var indexes []int
	for i := connIndex; i < m.Count; i += heartbeatConns {
		indexes = append(indexes, i)
	}
	if len(indexes) == 0 {
		return
	}
	tick := time.NewTicker(heartbeatPeriod / time.Duration(len(indexes)))
	core := m.Cores[connIndex%len(m.Cores)]
	var conn net.Conn
	var answers *bufio.Reader
	for seq := uint64(1); ; seq++ {
		for _, i := range indexes {
			<-tick.C
			if conn == nil {
				c, err := net.DialTimeout("tcp4", core, time.Second)
				if err != nil {
					m.missed.Add(1)
					continue
				}
				conn, answers = c, bufio.NewReader(c)
			}
			if err := m.send(conn, answers, core, i, seq); err != nil {
				m.missed.Add(1)
				conn.Close()
				conn = nil
			}
		}
	}
}

// send sends the heartbeat of the i-th member and reads the answer.
func (m *memberProcess) send(conn net.Conn, answers *bufio.Reader, core string, i int, seq uint64) error {
	role := "replica"
	if i%membersPerGroup == 0 {
		role = "primary"
	}
	body := fmt.Sprintf(
		`{"svc":"%s","addr":"%s","zone":"zone-%d","gen":"v%d","slots":10,"state":"up","warmupMs":0,"dbRole":"%s","seq":%d}`,
		groupName(i/membersPerGroup),
		m.addr,
		i%10,
		1+m.generation[i].Load(),
		role,
		seq,
	)
	request := fmt.Sprintf(
		"POST /members/i-%08x/heartbeat HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
			"Content-Length: %d\r\n\r\n%s",
		i,
		core,
		len(body),
		body,
	)
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	n, _ := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	m.heartbeats.Add(1)
	m.sent.Add(int64(len(request)))
	m.received.Add(n + 110) // approximate size of status line and headers
	return nil
}

// command increments the generation of the first n members if the verb is verbChange, which changes their records, and
// returns a sample.
func (m *memberProcess) command(verb string, n int) Sample {
	if verb == verbChange {
		for i := range min(n, m.Count) {
			m.generation[i].Add(1)
		}
	}
	return Sample{
		Heartbeats: m.heartbeats.Load(),
		Missed:     m.missed.Load(),
		Sent:       m.sent.Load(),
		Received:   m.received.Load(),
	}
}
