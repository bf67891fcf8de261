package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
)

// sitesResource serves the calls about sites that hold open sessions.
type sitesResource struct{ server *Server }

// renew grants a site's lease. If this incarnation of the site has not joined yet, it joins first.
func (s *sitesResource) renew(w http.ResponseWriter, r *http.Request) {
	var renewal sites.Renewal
	name := r.PathValue("name")
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes)).Decode(&renewal)
	if err != nil || renewal.Addr == "" || renewal.Incarnation == 0 {
		writeError(w, &invalidCallError{"a renewal names its addr and life"})
		return
	}
	lease := controlmsg.Request{SiteLease: &controlmsg.SiteLeaseRequest{Site: name, Incarnation: renewal.Incarnation}}
	a := s.server.submit(lease)
	if a.status == http.StatusConflict {
		a = s.server.submit(controlmsg.Request{SiteChange: renewal.Join(name)})
		if a.status == http.StatusOK {
			a = s.server.submit(lease)
		}
	}
	writeJSONAnswer(w, a)
}

// change returns the handler of an operator's change of a site. The query has the site's epoch and, for a drain, the
// number of sessions to hand over per second.
func (s *sitesResource) change(kind sites.ChangeKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		change := &sites.Change{Kind: kind, Name: r.PathValue("name")}
		change.Epoch, _ = strconv.ParseUint(query.Get("epoch"), 10, 64) // 0 if missing, which no site has
		if pace := query.Get("pace"); pace != "" {
			n, err := strconv.Atoi(pace)
			if err != nil || n < 1 {
				writeError(w, &invalidCallError{"pace is how many sessions a second are handed on, from 1 on"})
				return
			}
			change.DrainRate = n
		}
		writeJSONAnswer(w, s.server.submit(controlmsg.Request{SiteChange: change}))
	}
}

// show answers with the map of sites that this machine knows. Edges may safely follow an outdated map, as its sites
// reject outdated requests.
func (s *sitesResource) show(w http.ResponseWriter, _ *http.Request) {
	state := s.server.state
	siteMap := &sites.Map{}
	err := state.call(func() {
		if state.committed != nil && state.committed.Sites != nil {
			siteMap = state.committed.Sites
		}
	})
	if err != nil {
		_, _ = io.WriteString(w, "{}")
		return
	}
	s.server.setContactHeader(w)
	w.Header().Set(headerContentType, contentTypeJSON)
	_ = json.NewEncoder(w).Encode(siteMap)
}
