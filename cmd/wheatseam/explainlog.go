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

// field matches one key=value of a logfmt line; values with spaces are quoted.
var field = regexp.MustCompile(`([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine reads a line; false for what is no line of a daemon.
func parseLine(text string) (logLine, bool) {
	var l logLine
	for _, m := range field.FindAllStringSubmatch(text, -1) {
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

// maxLogLine bounds a line; longer ones are skipped.
const maxLogLine = 1 << 20

// about returns the lines about a request in some logs, in the order of time,
// and those about the replicas that it was sent to from around then.
func about(request string, logs []io.Reader) ([]logLine, error) {
	var mine, others []logLine
	named := map[string]bool{}
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLogLine)
		for s.Scan() {
			l, ok := parseLine(s.Text())
			if !ok {
				continue
			}
			switch {
			case slices.Contains(l.Fields, "request="+request):
				mine = append(mine, l)
				noteNamed(named, l)
			case beliefs[l.Event] != "":
				others = append(others, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	byTime := func(a, b logLine) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host)) }
	slices.SortFunc(mine, byTime)
	if len(mine) == 0 {
		return nil, nil
	}
	from, to := mine[0].At.Add(-beliefWindow), mine[len(mine)-1].At.Add(beliefWindow)
	for _, l := range others {
		if l.At.After(from) && l.At.Before(to) && names(l, named) {
			mine = append(mine, l)
		}
	}
	slices.SortFunc(mine, byTime)
	return mine, nil
}

// beliefWindow is how far around a request what was believed of its replicas is
// shown.
const beliefWindow = 5 * time.Second

// beliefs are the events that change what is believed of replicas, and the field
// that says of which.
var beliefs = map[string]string{
	"replica ejected": "replica", "stage replica suspected": "replica", "stage replica trusted again": "replica",
	"service refuses more than its load explains": "service",
}

// noteNamed notes the replicas and services that a line about a request names.
func noteNamed(named map[string]bool, l logLine) {
	for _, f := range l.Fields {
		switch key, value, _ := strings.Cut(f, "="); key {
		case "replica", "replicas":
			for _, id := range strings.Split(strings.Trim(value, `"`), ",") {
				named["replica="+id] = true
			}
		case "service":
			named[f] = true
		}
	}
}

// names says whether a line changes what is believed of one that is named.
func names(l logLine, named map[string]bool) bool {
	about := beliefs[l.Event] + "="
	return slices.ContainsFunc(l.Fields, func(f string) bool { return strings.HasPrefix(f, about) && named[f] })
}

// explainLogs prints what log files tell of a request.
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
	lines, err := about(request, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		fmt.Fprintf(out, "no line about request %s\n", request)
		return errFound
	}
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.At.Sub(lines[0].At).Round(time.Microsecond).String(), l.Host, l.Event, strings.Join(l.Fields, " ")})
	}
	return format.write(out, lines, []string{"AFTER", "HOST", "EVENT", "INPUTS AND OUTCOME"}, rows)
}
