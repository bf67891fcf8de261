package controlplane

import (
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/controlmsg"
)

// configResource serves the calls that read and change the configuration.
type configResource struct{ server *Server }

// replace handles the replacement of the whole configuration.
func (c *configResource) replace(w http.ResponseWriter, r *http.Request) { c.change(w, r, false) }

// amend handles an amendment to the current configuration.
func (c *configResource) amend(w http.ResponseWriter, r *http.Request) { c.change(w, r, true) }

// change has the leader apply a change, which is rejected unless its base version is the current one.
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

// log reads the newest changes of the configuration from the leader.
func (c *configResource) log(w http.ResponseWriter, _ *http.Request) {
	result := c.server.submit(controlmsg.Request{ReadLog: true})
	if result.status == http.StatusBadRequest {
		// A leader of an earlier software version ignores ReadLog, and rejects the request as an empty configuration.
		result = errorAnswer(errEarlierLeader)
	}
	writeJSONAnswer(w, result)
}
