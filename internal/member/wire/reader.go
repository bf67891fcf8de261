package wire

import (
	"bufio"
	"errors"
	"io"
	"sync/atomic"
)

// MaxMessageBytes is the length of the longest message, its end included.
const MaxMessageBytes = 1 << 20

const (
	// readBufferBytes is small, as most sessions are idle.
	readBufferBytes = 1024
	// maxKeptBytes is the capacity up to which a buffer for long messages is kept for the next one, as they are rare.
	maxKeptBytes = 16 << 10
)

// Errors of messages. After ErrMalformedLine the next message can be read; after the others, what would be read next is
// the rest of the same message, so that the connection is of no further use.
var (
	// ErrMessageTooLong is the error of a message longer than MaxMessageBytes.
	ErrMessageTooLong = errors.New("message longer than 1 MiB")
	// ErrBufferBudget is the error of a long message for which the shared budget is used up.
	ErrBufferBudget = errors.New("too many long messages at a time")
	// ErrMalformedLine is the error of bytes that are no line of text.
	ErrMalformedLine = errors.New("not a line of text")
)

// BufferBudget bounds the memory that all readers which share it use for long messages that have not ended. It is
// safe for concurrent use.
type BufferBudget struct{ available atomic.Int64 }

// NewBufferBudget returns a budget of so many bytes.
func NewBufferBudget(bytes int64) *BufferBudget {
	b := &BufferBudget{}
	b.available.Store(bytes)
	return b
}

// reserve takes bytes off the budget, and reports whether there were as many. They are to be released in any case. A
// nil budget is unlimited.
func (b *BufferBudget) reserve(bytes int64) bool {
	return b == nil || b.available.Add(-bytes) >= 0
}

func (b *BufferBudget) release(bytes int64) {
	if b != nil {
		b.available.Add(bytes)
	}
}

// Reader reads messages. It is used by one goroutine at a time.
type Reader struct {
	buffer *bufio.Reader
	long   []byte        // a message that is longer than the buffer; reused
	budget *BufferBudget // nil: not shared
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{buffer: bufio.NewReaderSize(r, readBufferBytes)} }

// WithBudget has the reader share a budget, and returns the reader.
func (r *Reader) WithBudget(budget *BufferBudget) *Reader {
	r.budget = budget
	return r
}

// Buffered returns how many bytes were received beyond the last message that was read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Wait blocks until there is something to read, or an error.
func (r *Reader) Wait() error {
	_, err := r.buffer.Peek(1)
	return err
}

// ReadMessage reads one message without its end.
func (r *Reader) ReadMessage() (string, error) {
	part, err := r.buffer.ReadSlice('\n')
	switch {
	case err == nil:
		return parseLine(part)
	case errors.Is(err, bufio.ErrBufferFull):
		return r.readLong(part)
	}
	return "", err
}

// readLong reads the rest of a message that is longer than the buffer. What it takes of the budget is released at its
// end.
func (r *Reader) readLong(part []byte) (string, error) {
	reserved := int64(0)
	defer func() { r.budget.release(reserved) }()
	r.long = append(r.long[:0], part...)
	err := bufio.ErrBufferFull
	for errors.Is(err, bufio.ErrBufferFull) && len(r.long) <= MaxMessageBytes {
		reserved += int64(len(part))
		if !r.budget.reserve(int64(len(part))) {
			r.long = nil
			return "", ErrBufferBudget
		}
		part, err = r.buffer.ReadSlice('\n')
		r.long = append(r.long, part...)
	}
	if len(r.long) > MaxMessageBytes {
		r.long = nil
		return "", ErrMessageTooLong
	}
	line := r.long
	if cap(r.long) > maxKeptBytes {
		r.long = nil
	}
	if err != nil {
		return "", err
	}
	return parseLine(line)
}

// parseLine checks a line and returns it without its end.
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
