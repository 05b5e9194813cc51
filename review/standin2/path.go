package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// playPath sends requests through a route that takes all paths of its host, and compares the
// request targets that consumers sent with those that replicas ran.
func playPath(s *site, trouble bool) (bool, error) {
	replicas, err := s.startReplicas("identity", 4, 6, 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	s.store.Put(names.Config, configuration("catchall"))
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	targets := []string{"/bobo563/lo7/2f", "/bobo563/lo7/2f?part=1", "/bobo563//lo7/2f"}
	if trouble {
		targets = append(targets, "//bobo563/lo7/2f", "//bobo563/lo7/2f?part=1")
	}
	broken := false
	for n, target := range targets {
		id := fmt.Sprintf("p%d", n)
		status, err := sendTarget(s.daemons[n%len(s.daemons)].address(portPublic), id, target)
		s.note("request %s to %q: answer %q, error %v", id, target, status, err)
		for _, r := range replicas {
			if got := r.target(id); got != "" {
				s.note("request %s: %s ran it with the target %q", id, r.id, got)
				broken = broken || got != target
			}
		}
	}
	return broken, nil
}

// sendTarget sends a request with the target as given, and returns the status line of the
// answer.
func sendTarget(address, id, target string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\n\r\n", target, hostname, names.Attempt, id, names.Deadline); err != nil {
		return "", err
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}
