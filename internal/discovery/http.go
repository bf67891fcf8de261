package discovery

// This file implements the part of HTTP/1.1 that discovery needs: a GET, and a response of bounded size in any framing.

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxBody        = 8 << 20 // bytes in a response body
	maxLine        = 8 << 10 // bytes in a header or chunk line
	maxHeaderLines = 100
)

// responseHeader is the used part of a response's header.
type responseHeader struct {
	statusCode    string
	contentLength int // -1 if the header has no length
	chunked       bool
	keepAlive     bool // the connection can serve another call
}

// exchange sends a GET request and reads the response. keepAlive reports whether the connection can be reused.
func (c *Client) exchange(path string) (body []byte, keepAlive bool, err error) {
	request := "GET " + path + " HTTP/1.1\r\nHost: " + c.Address + "\r\nAccept: application/json\r\n\r\n"
	if _, err := io.WriteString(c.conn, request); err != nil {
		return nil, false, err
	}
	header, err := c.readHeader()
	if err != nil {
		return nil, false, err
	}
	switch {
	case header.chunked:
		body, err = c.readChunks()
	case header.contentLength >= 0:
		body = make([]byte, header.contentLength)
		_, err = io.ReadFull(c.reader, body)
	default: // until the end of the connection
		header.keepAlive = false
		body, err = io.ReadAll(io.LimitReader(c.reader, maxBody))
	}
	if err == nil && header.statusCode != "200" {
		err = fmt.Errorf("status %.10s", header.statusCode)
	}
	return body, header.keepAlive, err
}

// readHeader reads the status line and the header.
func (c *Client) readHeader() (header responseHeader, err error) {
	status, err := c.readLine()
	if err != nil {
		return header, err
	}
	version, rest, _ := strings.Cut(status, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return header, fmt.Errorf("not an HTTP answer: %.40q", status)
	}
	header = responseHeader{contentLength: -1, keepAlive: version == "HTTP/1.1"}
	header.statusCode, _, _ = strings.Cut(rest, " ")
	for n := 0; ; n++ {
		line, err := c.readLine()
		if err != nil {
			return header, err
		}
		if line == "" {
			return header, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || n == maxHeaderLines {
			return header, fmt.Errorf("bad header line %.40q", line)
		}
		if err := header.set(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return header, err
		}
	}
}

func (h *responseHeader) set(name, value string) (err error) {
	switch name {
	case "content-length":
		if h.contentLength, err = strconv.Atoi(value); err != nil || h.contentLength < 0 || h.contentLength > maxBody {
			return fmt.Errorf("bad length %.40q", value)
		}
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
	case "connection":
		h.keepAlive = h.keepAlive && !strings.EqualFold(value, "close")
	}
	return nil
}

func (c *Client) readLine() (string, error) {
	b, err := c.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(b), "\r\n"), nil
}

// readChunks reads a chunked body.
func (c *Client) readChunks() (body []byte, err error) {
	for {
		line, err := c.readLine()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		chunkBytes, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(body)+int(chunkBytes) > maxBody {
			return nil, fmt.Errorf("bad chunk %.40q", line)
		}
		if chunkBytes == 0 {
			if err := c.skipTrailers(); err != nil {
				return nil, err
			}
			return body, nil
		}
		body = append(body, make([]byte, chunkBytes)...)
		if _, err = io.ReadFull(c.reader, body[len(body)-int(chunkBytes):]); err != nil {
			return nil, err
		}
		if err := c.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// readChunkEnd reads the line break after a chunk.
func (c *Client) readChunkEnd() error {
	line, err := c.readLine()
	switch {
	case err != nil:
		return fmt.Errorf("chunk without its end: %w", err)
	case line != "":
		return errors.New("chunk without its end: <nil>") // logs are searched for this text
	}
	return nil
}

// skipTrailers skips trailers up to the empty line that ends them.
func (c *Client) skipTrailers() error {
	for {
		if line, err := c.readLine(); err != nil || line == "" {
			return err
		}
	}
}
