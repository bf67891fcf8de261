package controlplane

import (
	"net/http"

	"weirwind/internal/session/sites"
)

// HTTP headers and their values.
const (
	headerContentType  = "Content-Type"
	headerBaseVersion  = "Weirwind-Base-Version"   // on an operator's change: the version that it is based on
	headerContactAgeMs = "Weirwind-Contact-Age-Ms" // on answers from a machine's local state: the age of its contact

	contentTypeJSON = "application/json"
	contentTypeText = "text/plain; charset=utf-8"
)

// routes returns the handler of the HTTP calls of members, sites and operators, with one handler object per resource.
func (srv *Server) routes() http.Handler {
	mux := http.NewServeMux()
	members, configuration := &membersResource{srv}, &configResource{srv}
	shards, sessionSites := &shardsResource{srv}, &sitesResource{srv}
	mux.HandleFunc("POST /members/{id}/heartbeat", members.heartbeat)
	mux.HandleFunc("POST /members/{id}/leave", members.leave)
	mux.HandleFunc("POST /members/{id}/forget", members.forget)
	mux.HandleFunc("POST /config/replace", configuration.replace)
	mux.HandleFunc("POST /config/amend", configuration.amend)
	mux.HandleFunc("GET /config/show", configuration.show)
	mux.HandleFunc("GET /config/log", configuration.log)
	mux.HandleFunc("GET /shards", shards.show)
	mux.HandleFunc("POST /shards", shards.change)
	mux.HandleFunc("GET /sites", sessionSites.show)
	mux.HandleFunc("POST /sites/{name}/renew", sessionSites.renew)
	mux.HandleFunc("POST /sites/{name}/drain", sessionSites.change(sites.ChangeDrain))
	mux.HandleFunc("POST /sites/{name}/undrain", sessionSites.change(sites.ChangeUndrain))
	mux.HandleFunc("POST /sites/{name}/leave", sessionSites.change(sites.ChangeLeave))
	mux.Handle("GET /status", &statusResource{srv})
	mux.Handle("GET /events", srv.log)
	return mux
}

// writeAnswer writes the leader's answer. contentType is its content type; "" to set none.
func writeAnswer(w http.ResponseWriter, result answer, contentType string) {
	if contentType != "" {
		w.Header().Set(headerContentType, contentType)
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body)
}

// writeJSONAnswer writes the leader's answer, which is JSON unless it is an error.
func writeJSONAnswer(w http.ResponseWriter, result answer) {
	if result.status == http.StatusOK {
		writeAnswer(w, result, contentTypeJSON)
		return
	}
	writeAnswer(w, result, "")
}
