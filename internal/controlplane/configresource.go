package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/config"
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

// log gives the changes that this machine knows to be applied: all that were acknowledged before the age that its
// header names.
func (c *configResource) log(w http.ResponseWriter, _ *http.Request) {
	if c.server.rejectWithoutContact(w) {
		return
	}
	c.server.setContactHeader(w)
	var history []config.AppliedChange
	err := c.server.loop.call(func() {
		if committed := c.server.loop.committed; committed != nil {
			history = committed.History
		}
	})
	if err != nil {
		return
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	_ = json.NewEncoder(w).Encode(history)
}
