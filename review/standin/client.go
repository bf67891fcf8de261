package standin

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"weirwind/internal/member/wire"
)

// Client is a client's session through a proxy.
type Client struct {
	conn   net.Conn
	reader *wire.Reader
}

var errNotReady = errors.New("the session is not ready")

// Dial attaches to a database.
func Dial(front, database string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: wire.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, "ATTACH "+database+" u1\r\n"); err != nil {
		c.Close()
		return nil, err
	}
	line, err := c.reader.ReadMessage()
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errNotReady
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }

// Query sends a statement. result is the line of DONE or FAIL, state that of READY.
func (c *Client) Query(id, text string) (result, state string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c.conn, "QUERY "+id+" "+text+"\r\n"); err != nil {
		return "", "", err
	}
	for {
		line, err := c.reader.ReadMessage()
		if err != nil {
			return "", "", err
		}
		switch word, rest := wire.CutField(line); word {
		case wire.MsgDone, wire.MsgFail:
			result = line
		case wire.MsgReady:
			state, _ = wire.CutField(rest)
			return result, state, nil
		}
	}
}
