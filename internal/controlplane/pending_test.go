package controlplane

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"weirwind/internal/controlplane/controlmsg"
)

// Calls over several links, of which each ends and comes again, and answers that come late, twice, over another link
// or from another incarnation of this process: each caller gets its own answer, or one that says that none came;
// once. It fails with the link left out of callID, with numbers that begin at nought in each incarnation, and with
// answer not forgetting.
func TestAnswersFindTheirCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct {
			id   callID
			ch   chan *controlmsg.Response
			body string
			over bool
		}
		start := time.Unix(1_000_000, 0)
		p := newPendingCalls(start)
		links := []*link{{}, {}, {}}
		var calls []*call
		var wire []callID // answers under way, from any incarnation
		body := func(id callID) string { return fmt.Sprintf("%p %d", id.link, id.number) }
		look := func() {
			for _, c := range calls {
				select {
				case r := <-c.ch:
					if c.over || r.Status == 200 && string(r.Body) != c.body {
						t.Fatalf("%s was told %s", c.body, r.Body)
					}
					c.over = true
				default:
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := links[rapid.IntRange(0, 2).Draw(t, "link")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				c := &call{ch: make(chan *controlmsg.Response, 1)}
				c.id = p.add(l, "leader", c.ch)
				c.body = body(c.id)
				calls, wire = append(calls, c), append(wire, c.id)
			case 3, 4:
				if len(wire) == 0 {
					continue
				}
				id := wire[rapid.IntRange(0, len(wire)-1).Draw(t, "answer")]
				over := id.link
				if rapid.IntRange(0, 3).Draw(t, "stray") == 0 { // another peer answers a call of its own that bears the same number
					over = l
				}
				p.answer(over, &controlmsg.Response{Number: id.number, Status: 200, Body: []byte(body(callID{over, id.number}))})
			case 5:
				p.failLink(l)
				for _, c := range calls {
					if c.id.link == l && len(c.ch) == 0 && !c.over {
						t.Fatalf("%s waits on a link that has ended", c.body)
					}
				}
			case 6:
				if rapid.Bool().Draw(t, "again") { // another incarnation of this process, over what seem the same links
					for _, c := range calls {
						c.over = true
					}
					start = start.Add(time.Second)
					p, calls = newPendingCalls(start), nil
				} else if len(calls) > 0 {
					c := calls[rapid.IntRange(0, len(calls)-1).Draw(t, "caller")]
					p.forget(c.id)
					c.over = true
				}
			}
			look()
		}
	})
}
