package controlplane

import (
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/controlmsg"
)

// configResource serves the operators' configuration.
type configResource struct{ server *Server }

// replace takes a whole configuration.
func (c *configResource) replace(w http.ResponseWriter, r *http.Request) { c.change(w, r, false) }

// amend takes an amendment of the configuration in place.
func (c *configResource) amend(w http.ResponseWriter, r *http.Request) { c.change(w, r, true) }

// change has the leader apply a change to the version that it is built on, and to no other.
func (c *configResource) change(w http.ResponseWriter, r *http.Request, amend bool) {
	base, err := strconv.ParseUint(r.Header.Get(headerBaseVersion), 10, 64)
	if err != nil {
		writeError(w, &invalidCallError{headerBaseVersion + " must be the version that the change is built on"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOperatorBytes))
	if err != nil {
		writeError(w, &bodyError{err})
		return
	}
	request := controlmsg.Request{Amend: amend, BaseVersion: base, Body: body}
	writeAnswer(w, c.server.submit(request), contentTypeText)
}

// show reads the configuration from the leader.
func (c *configResource) show(w http.ResponseWriter, _ *http.Request) {
	writeJSONAnswer(w, c.server.submit(controlmsg.Request{ReadConfig: true}))
}

// log reads the newest changes from the leader, as show reads the configuration.
func (c *configResource) log(w http.ResponseWriter, _ *http.Request) {
	result := c.server.submit(controlmsg.Request{ReadLog: true})
	if result.status == http.StatusBadRequest {
		// A leader of an earlier version takes the request for an empty configuration.
		result = answerTo(errEarlierLeader)
	}
	writeJSONAnswer(w, result)
}
