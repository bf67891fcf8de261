package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run. Times are seconds since its creation.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is the script's own
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// Log writes a line.
func (r *Record) Log(format string, args ...any) {
	at := time.Since(r.started)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{at.Seconds()}, args...)...)
}

// Close writes what is buffered.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
