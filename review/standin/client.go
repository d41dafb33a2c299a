package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// client sends requests to the fronts, each on a connection of its own.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// answer is what a client received.
type answer struct {
	status   int
	seal     string
	body     []byte
	complete bool // the answer ended as a whole
	err      error
}

// send sends a request and reads its answer.
func (c *client) send(ctx context.Context, method, front, path, id string, deadline time.Duration, fields map[string]string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+":8227"+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(wire.Fields.Request, id)
	request.Header.Set(wire.Fields.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set(wire.Fields.Key, key)
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // it was read
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get(wire.Fields.Seal), body: content, complete: err == nil, err: err}
}

// prompt returns the fields of a request with a prompt.
func prompt(id string, tokens, events int) map[string]string {
	return map[string]string{
		wire.Fields.Model: "m", wire.Fields.Usage: fmt.Sprintf("%d,%d", tokens, events*34), wire.Fields.Prefix: fmt.Sprintf("ab:40,%s:%d", id, tokens-40),
	}
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// checkStream returns what is wrong with a stream that ended as complete, empty if nothing is.
func checkStream(body []byte, events int) string {
	found := eventID.FindAllSubmatch(body, -1)
	for at, match := range found {
		if string(match[1]) != strconv.Itoa(at+1) {
			return fmt.Sprintf("event %s stands where %d belongs", match[1], at+1)
		}
	}
	if len(found) != events {
		return fmt.Sprintf("%d of %d events", len(found), events)
	}
	return ""
}
