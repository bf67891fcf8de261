package weirctl

// This file has the HTTP calls to the system's machines.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 64 << 20
)

// statusError is the error of a response with a status other than 200.
type statusError struct {
	url, status, body string // url has no scheme
	code              int
}

// Error returns the URL, the status and the body of the response.
func (e *statusError) Error() string { return fmt.Sprintf("%s: %s: %s", e.url, e.status, e.body) }

func get(addr, path string) ([]byte, error) { return call(http.MethodGet, addr, path, nil) }

// getJSON makes a GET call and decodes the response.
func getJSON(addr, path string, target any) error {
	body, err := get(addr, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, target)
}

// postAndPrint makes a POST call and prints the response.
func postAndPrint(addr, path string, out io.Writer) error {
	answer, err := call(http.MethodPost, addr, path, nil)
	if err == nil {
		_, err = out.Write(answer)
	}
	return err
}

// call makes a call and returns the body of the response, and a statusError unless the status is 200.
func call(method, addr, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, oops.In("ask").With("peer", addr).Wrap(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = &statusError{url: addr + path, status: response.Status, body: strings.TrimSpace(string(answer)),
			code: response.StatusCode}
	}
	return answer, err
}

// printJSON prints a value as indented JSON.
func printJSON(value any, out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
