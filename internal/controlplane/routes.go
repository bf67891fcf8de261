package controlplane

import (
	"net/http"

	"weirwind/internal/session/sites"
)

// Headers of calls, and their values.
const (
	headerContentType  = "Content-Type"
	headerBaseVersion  = "Weirwind-Base-Version"   // of an operator's change: the version that it is built on
	headerContactAgeMs = "Weirwind-Contact-Age-Ms" // of what a machine answers from its own knowledge

	contentTypeJSON = "application/json"
	contentTypeText = "text/plain; charset=utf-8"
)

// routes gives the HTTP calls of members, sites and operators: one handler object for each resource.
func (h *Server) routes() http.Handler {
	mux := http.NewServeMux()
	members, configuration := &membersResource{h}, &configResource{h}
	shards, sessionSites := &shardsResource{h}, &sitesResource{h}
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
	mux.Handle("GET /status", &statusResource{h})
	mux.Handle("GET /events", h.log)
	return mux
}

// writeAnswer answers with what the leader decided. contentType is the answer's; "" for none of its own.
func writeAnswer(w http.ResponseWriter, result answer, contentType string) {
	if contentType != "" {
		w.Header().Set(headerContentType, contentType)
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body)
}

// writeJSONAnswer answers with what the leader decided: JSON, unless it is an error.
func writeJSONAnswer(w http.ResponseWriter, result answer) {
	if result.status == http.StatusOK {
		writeAnswer(w, result, contentTypeJSON)
		return
	}
	writeAnswer(w, result, "")
}
