package settings

// This file reads single values and builds error messages.

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

const (
	maxPort   = 65535
	maxNumber = 1e9 // bound on numbers, which are milliseconds, seconds, fractions or operations
)

// reader reads values and keeps the first error; the values that it returns after an error are undefined.
type reader struct {
	properties *properties.Properties
	lines      map[string]int // line number of each key, from 1
	err        error
}

// lineNumbers returns the line number of each key; for a repeated key that of the last line, whose value is used.
func lineNumbers(text []byte) map[string]int {
	lines := map[string]int{}
	for i, line := range strings.Split(string(text), "\n") {
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

func (r *reader) fail(key, reason string) {
	if r.err != nil {
		return
	}
	position := "it is missing"
	if n := r.lines[key]; n > 0 {
		position = fmt.Sprintf("line %d", n)
	}
	r.err = oops.In("settings").With("key", key).Errorf("%s (%s): %s", key, position, reason)
}

func (r *reader) text(key string) string { return strings.TrimSpace(r.properties.GetString(key, "")) }

func (r *reader) required(key string) string {
	value := r.text(key)
	if value == "" {
		r.fail(key, "a value is needed")
	}
	return value
}

func (r *reader) boolean(key string) bool {
	switch value := r.text(key); value {
	case "true":
		return true
	case "", "false":
	default:
		r.fail(key, fmt.Sprintf("%q is neither true nor false", value))
	}
	return false
}

func (r *reader) parseInteger(key, value string) int {
	n, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || n < 0 {
		r.fail(key, fmt.Sprintf("%q is no whole number from 0 on", value))
	}
	return n
}

func (r *reader) integer(key string, defaultValue int) int {
	if value := r.text(key); value != "" {
		return r.parseInteger(key, value)
	}
	return defaultValue
}

func (r *reader) number(key string, defaultValue float64) float64 {
	value := r.text(key)
	if value == "" {
		return defaultValue
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0) || number > maxNumber { // written so that NaN fails too
		r.fail(key, fmt.Sprintf("%q is no number from 0 on", value))
	}
	return number
}

func (r *reader) milliseconds(key string, defaultValue float64) time.Duration {
	return time.Duration(r.number(key, defaultValue) * float64(time.Millisecond))
}

func (r *reader) seconds(key string, defaultValue float64) time.Duration {
	return time.Duration(r.number(key, defaultValue) * float64(time.Second))
}

// address reads an optional IP:port.
func (r *reader) address(key string) string {
	value := r.text(key)
	if value != "" {
		r.checkAddress(key, value)
	}
	return value
}

// addresses reads a comma-separated list of IP:port.
func (r *reader) addresses(key string) []string {
	addrs := r.list(key)
	for _, addr := range addrs {
		r.checkAddress(key, addr)
	}
	return addrs
}

// list reads a comma-separated list of words.
func (r *reader) list(key string) (words []string) {
	for _, word := range strings.Split(r.text(key), ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}

func (r *reader) checkAddress(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || n < 1 || n > maxPort || net.ParseIP(host) == nil {
		r.fail(key, fmt.Sprintf("%q is no IP:port", addr))
	}
}
