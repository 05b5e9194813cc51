package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

// logLine is one line of a daemon's log.
type logLine struct {
	At     time.Time `json:"at"`
	Host   string    `json:"host"`
	Event  string    `json:"event"`
	Fields []string  `json:"fields"`
}

// logFieldPattern matches one key=value field of a logfmt line. Values with spaces
// are quoted.
var logFieldPattern = regexp.MustCompile(`([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine parses a line of a daemon's log. It returns false for any other text.
func parseLine(text string) (logLine, bool) {
	var l logLine
	for _, m := range logFieldPattern.FindAllStringSubmatch(text, -1) {
		key, value := m[1], strings.Trim(m[2], `"`)
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return l, false
			}
			l.At = at
		case "host":
			l.Host = value
		case "msg":
			l.Event = value
		case "level":
		default:
			l.Fields = append(l.Fields, key+"="+m[2])
		}
	}
	return l, !l.At.IsZero() && l.Event != ""
}

// maxLogLineBytes is the maximum length of a log line. A longer one is an error.
const maxLogLineBytes = 1 << 20

// requestLines returns the log lines of a request from all logs, ordered by time. It
// adds the replica events from around that time that concern the replicas and
// services to which the request was sent.
func requestLines(request string, logs []io.Reader) ([]logLine, error) {
	var lines, eventLines []logLine
	targets := map[string]bool{}
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLogLineBytes)
		for s.Scan() {
			l, ok := parseLine(s.Text())
			if !ok {
				continue
			}
			switch {
			case slices.Contains(l.Fields, "request="+request):
				lines = append(lines, l)
				collectTargets(targets, l)
			case replicaEvents[l.Event] != "":
				eventLines = append(eventLines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	byTime := func(a, b logLine) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host)) }
	slices.SortFunc(lines, byTime)
	if len(lines) == 0 {
		return nil, nil
	}
	from, to := lines[0].At.Add(-replicaEventWindow), lines[len(lines)-1].At.Add(replicaEventWindow)
	for _, l := range eventLines {
		if l.At.After(from) && l.At.Before(to) && concernsTarget(l, targets) {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, byTime)
	return lines, nil
}

// replicaEventWindow is the time before the first and after the last line of a
// request within which replica events are included.
const replicaEventWindow = 5 * time.Second

// replicaEvents maps each log event that changes the known state of replicas to the
// field that names the affected replica or service.
var replicaEvents = map[string]string{
	"replica ejected": "replica", "stage replica suspected": "replica", "stage replica trusted again": "replica",
	"service refuses more than its load explains": "service",
}

// collectTargets adds the replicas and services named in a log line of a request to
// targets, as key=value fields.
func collectTargets(targets map[string]bool, l logLine) {
	for _, f := range l.Fields {
		switch key, value, _ := strings.Cut(f, "="); key {
		case "replica", "replicas":
			for _, id := range strings.Split(strings.Trim(value, `"`), ",") {
				targets["replica="+id] = true
			}
		case "service":
			targets[f] = true
		}
	}
}

// concernsTarget reports whether the replica event l affects one of the targets.
func concernsTarget(l logLine, targets map[string]bool) bool {
	prefix := replicaEvents[l.Event] + "="
	return slices.ContainsFunc(l.Fields, func(f string) bool { return strings.HasPrefix(f, prefix) && targets[f] })
}

// explainLogs prints the lines of the log files that concern a request.
func explainLogs(out io.Writer, format outputFormat, request string, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	lines, err := requestLines(request, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		fmt.Fprintf(out, "no log line of request %s found\n", request)
		return errNegativeResult
	}
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.At.Sub(lines[0].At).Round(time.Microsecond).String(), l.Host, l.Event, strings.Join(l.Fields, " ")})
	}
	return format.write(out, lines, []string{"AFTER", "HOST", "EVENT", "INPUTS AND OUTCOME"}, rows)
}
