package wire

import (
	"bufio"
	"errors"
	"io"
	"sync/atomic"
)

// MaxMessageBytes is the maximum length of a message, including CR LF.
const MaxMessageBytes = 1 << 20

const (
	// readBufferBytes is small, as most sessions are idle.
	readBufferBytes = 1024
	// maxKeptBufferBytes is the maximum capacity of a buffer for long messages that is kept for reuse. Long messages are
	// rare.
	maxKeptBufferBytes = 16 << 10
)

// Errors of ReadMessage. After ErrMalformedLine the next message can be read. After the others the rest of the same
// message would be read next, so the connection must be closed.
var (
	// ErrMessageTooLong means that a message is longer than MaxMessageBytes.
	ErrMessageTooLong = errors.New("message longer than 1 MiB")
	// ErrBufferBudget means that the shared budget has not enough bytes left for a long message.
	ErrBufferBudget = errors.New("too many long messages at a time")
	// ErrMalformedLine means that a line does not end in CR LF or contains a control character.
	ErrMalformedLine = errors.New("not a line of text")
)

// BufferBudget limits the memory that the readers that share it use for incomplete long messages. It is safe for
// concurrent use.
type BufferBudget struct{ available atomic.Int64 }

// NewBufferBudget returns a budget with the given number of bytes.
func NewBufferBudget(bytes int64) *BufferBudget {
	b := &BufferBudget{}
	b.available.Store(bytes)
	return b
}

// reserve subtracts bytes from the budget and reports whether the budget had enough. The caller must release the bytes
// in either case. A nil budget is unlimited.
func (b *BufferBudget) reserve(bytes int64) bool {
	return b == nil || b.available.Add(-bytes) >= 0
}

func (b *BufferBudget) release(bytes int64) {
	if b != nil {
		b.available.Add(bytes)
	}
}

// Reader reads messages. It is not safe for concurrent use.
type Reader struct {
	source      *bufio.Reader
	longMessage []byte        // buffer for a message longer than readBufferBytes, reused
	budget      *BufferBudget // nil for no limit
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(r, readBufferBytes)} }

// WithBudget sets the budget that the reader shares, and returns the reader.
func (r *Reader) WithBudget(budget *BufferBudget) *Reader {
	r.budget = budget
	return r
}

// Buffered returns the number of received bytes that have not been read yet.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Wait blocks until a byte is available or an error occurs.
func (r *Reader) Wait() error {
	_, err := r.source.Peek(1)
	return err
}

// ReadMessage reads one message and returns it without CR LF.
func (r *Reader) ReadMessage() (string, error) {
	part, err := r.source.ReadSlice('\n')
	switch {
	case err == nil:
		return parseLine(part)
	case errors.Is(err, bufio.ErrBufferFull):
		return r.readLongMessage(part)
	}
	return "", err
}

// readLongMessage reads the rest of a message that is longer than the buffer. It releases the bytes that it has
// reserved when it returns.
func (r *Reader) readLongMessage(part []byte) (string, error) {
	reserved := int64(0)
	defer func() { r.budget.release(reserved) }()
	r.longMessage = append(r.longMessage[:0], part...)
	err := bufio.ErrBufferFull
	for errors.Is(err, bufio.ErrBufferFull) && len(r.longMessage) <= MaxMessageBytes {
		reserved += int64(len(part))
		if !r.budget.reserve(int64(len(part))) {
			r.longMessage = nil
			return "", ErrBufferBudget
		}
		part, err = r.source.ReadSlice('\n')
		r.longMessage = append(r.longMessage, part...)
	}
	if len(r.longMessage) > MaxMessageBytes {
		r.longMessage = nil
		return "", ErrMessageTooLong
	}
	line := r.longMessage
	if cap(r.longMessage) > maxKeptBufferBytes {
		r.longMessage = nil
	}
	if err != nil {
		return "", err
	}
	return parseLine(line)
}

// parseLine validates a line and returns it without CR LF.
func parseLine(line []byte) (string, error) {
	end := len(line) - 2
	if end < 0 || line[end] != '\r' {
		return "", ErrMalformedLine
	}
	for _, b := range line[:end] {
		if b < ' ' && b != '\t' {
			return "", ErrMalformedLine
		}
	}
	return string(line[:end]), nil
}
