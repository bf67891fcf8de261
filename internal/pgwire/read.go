package pgwire

// This file reads the framing of messages.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// StartupKind is the kind of the first message on a connection.
type StartupKind uint8

// The kinds of startup messages.
const (
	StartupSession StartupKind = iota
	StartupEncrypt             // SSLRequest or GSSENCRequest, to be answered with one byte N
	StartupCancel              // CancelRequest, after which the connection ends
)

// ReadStartup reads the first message of a connection. minor is the minor protocol version of a StartupSession.
func ReadStartup(r *bufio.Reader) (kind StartupKind, minor uint32, err error) {
	var header [startupBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	length, code := binary.BigEndian.Uint32(header[:]), binary.BigEndian.Uint32(header[lengthBytes:])
	if length < startupBytes || length > maxStartup {
		return 0, 0, fmt.Errorf("%w: startup of %d bytes", ErrFraming, length)
	}
	if _, err := r.Discard(int(length) - startupBytes); err != nil {
		return 0, 0, unexpectedEOF(err)
	}
	switch {
	case code == codeSSLRequest || code == codeGSSRequest:
		return StartupEncrypt, 0, nil
	case code == codeCancel:
		return StartupCancel, 0, nil
	case code>>16 != codeProtocol3>>16:
		return 0, 0, fmt.Errorf("%w: protocol version %d.%d", ErrFraming, code>>16, code&0xffff)
	}
	return StartupSession, code & 0xffff, nil
}

// ReadHeader reads the kind of the next message and the length of its body. It returns io.EOF if the input ends before
// the message.
func ReadHeader(r *bufio.Reader) (kind byte, length int, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	length = int(binary.BigEndian.Uint32(header[1:]))
	if length < lengthBytes || length > MaxMessage || header[0] < 'A' || header[0] > 'z' {
		return 0, 0, fmt.Errorf("%w: kind %q, length %d", ErrFraming, header[0], length)
	}
	return header[0], length - lengthBytes, nil
}

// Buffered reports whether the message that begins with a header is complete in a buffer of length bytes.
func Buffered(header []byte, length int) bool {
	return len(header) == headerBytes && uint64(binary.BigEndian.Uint32(header[1:])) < uint64(length)
}

// ReadBody appends the length bytes that follow a header to buf.
func ReadBody(r *bufio.Reader, buf []byte, length int) ([]byte, error) {
	for length > 0 { // buf grows as bytes arrive, so that a header alone can't cause a large allocation
		size := min(length, readStep)
		buf = append(buf, make([]byte, size)...)
		if _, err := io.ReadFull(r, buf[len(buf)-size:]); err != nil {
			return buf, unexpectedEOF(err)
		}
		length -= size
	}
	return buf, nil
}

// Read appends the next message, including its header, to buf. It returns io.EOF if the input ends before the message.
func Read(r *bufio.Reader, buf []byte) (kind byte, message []byte, err error) {
	kind, length, err := ReadHeader(r)
	if err != nil {
		return 0, buf, err
	}
	buf = binary.BigEndian.AppendUint32(append(buf, kind), uint32(length+lengthBytes))
	buf, err = ReadBody(r, buf, length)
	return kind, buf, err
}

// unexpectedEOF converts io.EOF within a message to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
