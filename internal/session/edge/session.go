package edge

// This file owns how a client's connection begins and ends.

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

// tokenPartBytes are the bytes of a session's id, and of its secret; a token has both in hexadecimal.
const tokenPartBytes = 16

// Errors of a session request, with the texts that clients get.
var (
	errBadToken  = errors.New("that is no token")
	errBadNumber = errors.New("got is the number of the last message")
)

// sessionRequest says which session a client wants.
type sessionRequest struct {
	id, secret string
	newSession bool
	acked      uint64 // number of the last message that the client has
}

// parseSessionRequest reads the query: token names a session to resume, got the last message that the client has of
// it. Without a token it makes a new session's.
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

// offersSubprotocol says whether the client asks for the subprotocol; else it is a plain one.
func offersSubprotocol(header http.Header) bool {
	offered := strings.FieldsFunc(header.Get("Sec-WebSocket-Protocol"), func(c rune) bool { return c == ',' || c == ' ' })
	return slices.Contains(offered, Subprotocol)
}

// serveSession serves a client's connection from its request to its end.
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
