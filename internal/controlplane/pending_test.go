package controlplane

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"weirwind/internal/controlplane/controlmsg"
)

// Calls are made over links that end and are replaced, and answers arrive late, twice, over another link or for another
// incarnation of this process. Each caller gets exactly its own answer or an error, and only once. The test fails if
// callID lacks the link, if numbers start at 0 in each incarnation, or if answer does not remove the call.
func TestAnswersFindTheirCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct {
			id       callID
			response chan *controlmsg.Response
			body     string
			done     bool
		}
		start := time.Unix(1_000_000, 0)
		p := newPendingCalls(start)
		links := []*link{{}, {}, {}}
		var calls []*call
		var inFlight []callID // calls with answers in flight, of any incarnation
		body := func(id callID) string { return fmt.Sprintf("%p %d", id.link, id.number) }
		checkResponses := func() {
			for _, c := range calls {
				select {
				case r := <-c.response:
					if c.done || r.Status == 200 && string(r.Body) != c.body {
						t.Fatalf("%s was answered %s", c.body, r.Body)
					}
					c.done = true
				default:
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := links[rapid.IntRange(0, 2).Draw(t, "link")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				newCall := &call{response: make(chan *controlmsg.Response, 1)}
				newCall.id = p.add(l, "leader", newCall.response)
				newCall.body = body(newCall.id)
				calls, inFlight = append(calls, newCall), append(inFlight, newCall.id)
			case 3, 4:
				if len(inFlight) == 0 {
					continue
				}
				id := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")]
				via := id.link
				if rapid.IntRange(0, 3).Draw(t, "stray") == 0 { // another peer answers its own call with the same number
					via = l
				}
				p.answer(via, &controlmsg.Response{Number: id.number, Status: 200, Body: []byte(body(callID{via, id.number}))})
			case 5:
				p.failLink(l)
				for _, c := range calls {
					if c.id.link == l && len(c.response) == 0 && !c.done {
						t.Fatalf("%s waits on a link that has ended", c.body)
					}
				}
			case 6:
				if rapid.Bool().Draw(t, "again") { // another incarnation of this process, over the same links
					for _, c := range calls {
						c.done = true
					}
					start = start.Add(time.Second)
					p, calls = newPendingCalls(start), nil
				} else if len(calls) > 0 {
					c := calls[rapid.IntRange(0, len(calls)-1).Draw(t, "caller")]
					p.forget(c.id)
					c.done = true
				}
			}
			checkResponses()
		}
	})
}
