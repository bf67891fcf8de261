package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
)

// sitesResource serves the sites that hold open sessions.
type sitesResource struct{ server *Server }

// renew grants a site's lease. A site that has not joined, or whose earlier incarnation had, joins first.
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

// change gives the handler of an operator's change of a site. The site's epoch is in the query, and for a drain the
// number of sessions that are handed on a second.
func (s *sitesResource) change(kind sites.ChangeKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		change := &sites.Change{Kind: kind, Name: r.PathValue("name")}
		change.Epoch, _ = strconv.ParseUint(query.Get("epoch"), 10, 64) // without one: 0, which no site has
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

// show gives the map of sites as this machine knows it. Edges may follow an old one: the sites that it names refuse
// what is out of date.
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
