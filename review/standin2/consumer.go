package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// hostname is the host of the routes.
const hostname = "pule25.example"

// consumer keeps one channel to a daemon.
type consumer struct {
	site   *site
	daemon *daemon
	client *http.Client
}

func (s *site) newConsumer(d *daemon) *consumer {
	return &consumer{site: s, daemon: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// send sends a request and reports whether there was a whole answer, of any status.
func (c *consumer) send(method, path, id string, body []byte, deadline time.Duration) (answered bool) {
	req, err := http.NewRequest(method, "http://"+c.daemon.address(portPublic)+path, bytes.NewReader(body))
	if err != nil {
		c.site.note("request %s: %v", id, err)
		return false
	}
	req.Host = hostname
	req.Header.Set(names.Attempt, id)
	req.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.site.note("request %s (%s %s, %d bytes): no answer after %.3f s: %v", id, method, path, len(body), time.Since(began).Seconds(), err)
		return false
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		c.site.note("request %s (%s %s, %d bytes): answer broken off: %v", id, method, path, len(body), err)
		return false
	}
	c.site.note("request %s (%s %s, %d bytes): %d after %.3f s", id, method, path, len(body), resp.StatusCode, time.Since(began).Seconds())
	return true
}
