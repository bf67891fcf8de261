package edge

// This file handles the start and the end of a client's connection.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/coder/websocket"
)

// tokenPartBytes is the number of bytes of a session's id, and of its secret. A token contains both in hexadecimal.
const tokenPartBytes = 16

// Errors of a session request. Clients get their texts.
var (
	errBadToken  = errors.New("that is no token")
	errBadNumber = errors.New("got is the number of the last message")
)

// sessionRequest is a client's request to create or resume a session.
type sessionRequest struct {
	id, secret string
	newSession bool
	acked      uint64 // number of the last message that the client has received
}

// parseSessionRequest parses the query: token names a session to resume, got is the number of the last message that the
// client has received. Without a token it returns a request for a new session.
func parseSessionRequest(query url.Values) (*sessionRequest, error) {
	request := &sessionRequest{newSession: query.Get("token") == ""}
	if request.newSession {
		request.id, request.secret = randomToken()
	} else {
		separated := false
		request.id, request.secret, separated = strings.Cut(query.Get("token"), ".")
		const length = 2 * tokenPartBytes
		if !separated || len(request.id) != length || len(request.secret) != length {
			return nil, errBadToken
		}
	}
	if lastReceived := query.Get("got"); lastReceived != "" {
		number, err := strconv.ParseUint(lastReceived, 10, 63)
		if err != nil {
			return nil, errBadNumber
		}
		request.acked = number
	}
	return request, nil
}

func randomToken() (id, secret string) {
	var b [2 * tokenPartBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:tokenPartBytes]), hex.EncodeToString(b[tokenPartBytes:])
}

// offersSubprotocol reports whether the client offers the subprotocol; otherwise it is a plain client.
func offersSubprotocol(header http.Header) bool {
	offered := strings.FieldsFunc(header.Get("Sec-WebSocket-Protocol"), func(c rune) bool { return c == ',' || c == ' ' })
	return slices.Contains(offered, Subprotocol)
}

// serveSession serves a client's connection until it ends.
func (r *runner) serveSession(w http.ResponseWriter, req *http.Request) {
	if r.openSockets.Add(1) > r.maxSockets {
		r.openSockets.Add(-1)
		http.Error(w, "this edge is full", http.StatusServiceUnavailable)
		return
	}
	defer r.openSockets.Add(-1)
	request, err := parseSessionRequest(req.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conn, err := websocket.Accept(w, req, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol},
		InsecureSkipVerify: true, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has answered
	}
	conn.SetReadLimit(maxLineBytes)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer conn.CloseNow()
	s := &socket{conn: conn, plain: !offersSubprotocol(req.Header), wakeWriter: make(chan struct{}, 1), cancel: cancel}
	r.commands.Do(func() { r.openSocket(s, request) })
	go s.write(ctx, r)
	s.read(ctx, r)
	r.commands.Do(func() { r.closeSocket(s) })
}

func (r *runner) openSocket(s *socket, request *sessionRequest) {
	r.lastSocket++
	s.id = r.lastSocket
	r.sockets[s.id] = s
	r.decider.OpenSocket(s.id, request.id, request.secret, request.newSession, request.acked, r.now())
	r.flush()
}

func (r *runner) closeSocket(s *socket) {
	if r.sockets[s.id] == s {
		delete(r.sockets, s.id)
	}
	r.decider.CloseSocket(s.id)
	r.flush()
}
