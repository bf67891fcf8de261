package site

// This file implements the HTTP calls of producers, consumers and operators, with a handler type for each resource.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/commandqueue"
)

// enqueueTimeout is longer than the time for which package queue lets a producer wait.
const enqueueTimeout = 2500 * time.Millisecond

func (r *runner) routes() http.Handler {
	mux := http.NewServeMux()
	session := &sessionResource{r}
	mux.HandleFunc("POST /sessions/{id}/messages", session.enqueue)
	mux.HandleFunc("GET /sessions/{id}/inbox", session.inbox)
	mux.HandleFunc("POST /sessions/{id}/took", session.consume)
	mux.HandleFunc("GET /sessions/{id}", session.show)
	mux.HandleFunc("GET /status", (&statusResource{r}).show)
	mux.Handle("GET /events", r.log)
	return withoutCancel(mux)
}

// withoutCancel prevents requests' contexts from being cancelled. net/http cancels a request's context as soon as the
// caller closes the sending half of its connection, but such a caller still waits for its answer.
func withoutCancel(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		next.ServeHTTP(w, req.WithContext(context.WithoutCancel(req.Context())))
	})
}

// sessionResource handles the calls for a session and its messages.
type sessionResource struct{ runner *runner }

// redirectToOwner redirects a caller to the session's owner if this site knows it, and otherwise answers that the
// session isn't found.
func (s *sessionResource) redirectToOwner(w http.ResponseWriter, req *http.Request) {
	addr, err := commandqueue.Call(req.Context(), s.runner.commands, func() string {
		owner, ok := s.runner.decider.OwnerOf(req.PathValue("id"))
		if m := s.runner.decider.Map(); ok && m != nil {
			return m.Sites[owner].HTTPAddr
		}
		return ""
	})
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case addr != "" && addr != s.runner.settings.ReadyAddr:
		http.Redirect(w, req, "http://"+addr+req.URL.RequestURI(), http.StatusTemporaryRedirect)
	default:
		http.Error(w, "the session is not at this site", http.StatusNotFound)
	}
}

// enqueued is the answer of queue.Site to a producer.
type enqueued struct {
	status queue.Status
	number uint64
}

// enqueue queues a message under the producer's key.
func (s *sessionResource) enqueue(w http.ResponseWriter, req *http.Request) {
	maxBytes := s.runner.limits.MessageBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(maxBytes)))
	if err != nil {
		http.Error(w, fmt.Sprintf("a message has at most %d bytes", maxBytes), http.StatusRequestEntityTooLarge)
		return
	}
	// This isn't a Call, because the reply may come from a later command. The channel is buffered, so that the reply
	// doesn't block if the caller has timed out.
	reply := make(chan enqueued, 1)
	s.runner.commands.Do(func() {
		s.runner.decider.Enqueue(req.PathValue("id"), req.Header.Get("Weirwind-Key"), body, s.runner.now(),
			func(status queue.Status, number uint64) { reply <- enqueued{status, number} })
		s.runner.flush()
	})
	timer := time.NewTimer(enqueueTimeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		s.writeEnqueued(w, req, answer)
	case <-timer.C:
		http.Error(w, "not known yet; send it again under the same Weirwind-Key", http.StatusServiceUnavailable)
	case <-s.runner.ctx.Done():
	}
}

// writeEnqueued answers a producer with the status, which is an HTTP status code.
func (s *sessionResource) writeEnqueued(w http.ResponseWriter, req *http.Request, answer enqueued) {
	switch answer.status {
	case queue.StatusNoSession:
		s.redirectToOwner(w, req)
		return
	case queue.StatusUnavailable:
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(int(answer.status))
	fmt.Fprintf(w, `{"n":%d}`+"\n", answer.number)
}

// inboxMessage is a message of the client in JSON. Its fields are in the order of their JSON names.
type inboxMessage struct {
	Body   string `json:"body"`
	Number uint64 `json:"n"`
}

// inbox answers a consumer with the client's messages after the number in the query.
func (s *sessionResource) inbox(w http.ResponseWriter, req *http.Request) {
	afterNumber, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64) // 0 if missing or malformed
	type result struct {
		messages []queue.Message
		ok       bool
	}
	inbox, err := commandqueue.Call(req.Context(), s.runner.commands, func() (r result) {
		r.messages, r.ok = s.runner.decider.Inbox(req.PathValue("id"), afterNumber, s.runner.now())
		return r
	})
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case !inbox.ok:
		s.redirectToOwner(w, req)
	default:
		messages := []inboxMessage{}
		for _, m := range inbox.messages {
			messages = append(messages, inboxMessage{string(m.Body), m.Number})
		}
		writeJSON(w, messages, "")
	}
}

// consume removes the messages up to the number in the query, which the consumer has processed.
func (s *sessionResource) consume(w http.ResponseWriter, req *http.Request) {
	number, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		http.Error(w, "n is the number of the last message that was taken", http.StatusBadRequest)
		return
	}
	ok, err := commandqueue.Call(req.Context(), s.runner.commands, func() bool {
		ok := s.runner.decider.Consume(req.PathValue("id"), number, s.runner.now())
		s.runner.flush()
		return ok
	})
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case !ok:
		s.redirectToOwner(w, req)
	}
}

// show describes the session to operators.
func (s *sessionResource) show(w http.ResponseWriter, req *http.Request) {
	info, err := commandqueue.Call(req.Context(), s.runner.commands, func() *queue.SessionInfo {
		return s.runner.decider.Describe(req.PathValue("id"))
	})
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case info == nil:
		s.redirectToOwner(w, req)
	default:
		writeJSON(w, info, "")
	}
}

// statusResource handles calls for the status of the site.
type statusResource struct{ runner *runner }

// status describes the site to operators. Its fields are in the order of their JSON names.
type status struct {
	Bytes    int64       `json:"bytes"`
	Replicas int         `json:"copies"`
	Edges    int         `json:"edges"`
	Epoch    uint64      `json:"epoch"`
	Expired  int         `json:"givenUp"` // messages
	Owned    int         `json:"homes"`   // sessions
	Site     string      `json:"site"`
	Sites    *sites.Map  `json:"sites"`
	State    sites.State `json:"state"`
}

func (s *statusResource) show(w http.ResponseWriter, req *http.Request) {
	current, err := s.get(req.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, current, "  ")
}

func (s *statusResource) get(ctx context.Context) (status, error) {
	r := s.runner
	return commandqueue.Call(ctx, r.commands, func() status {
		return status{Bytes: r.decider.Bytes(), Replicas: r.decider.ReplicatedSessions(), Edges: len(r.edges),
			Epoch: r.decider.Epoch, Expired: r.decider.ExpiredMessages, Owned: r.decider.OwnedSessions(),
			Site: r.settings.Hostname, Sites: r.decider.Map(), State: r.loggedState}
	})
}

// writeUnavailable answers a call that can't be served because the process is shutting down.
func writeUnavailable(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, value any, indent string) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", indent)
	_ = encoder.Encode(value) // an error means that the caller has disconnected
}
