package soak

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// StreamCounts says how many streams a run has checked, and what it found in them.
type StreamCounts struct {
	// Streams is the number of streams that brought an event, and WithFault of those with each
	// kind of fault.
	Streams   int
	WithFault map[string]int
	// TakenUp is the number of streams that their callers took up after they had brought an event.
	TakenUp int
	TakeUpCounts
	// AfterLoss counts the attempts after a loss of all daemons to which the guarantee for streams
	// that are taken up applies: see countsAfterLoss and soundEngines.
	AfterLoss TakeUpCounts
	// ByLoss counts all attempts by the last loss of daemons since the beginning of the stream.
	ByLoss map[string]CheckedShare
	// JoinedBy counts the joined streams by the evidence of the attempt that joined them.
	JoinedBy map[string]int
}

// TakeUpCounts counts attempts to take streams up.
type TakeUpCounts struct {
	// Attempts is their number, of which Checked brought at least one more event.
	Attempts, Checked int
	// ByEvidence counts the attempts that daemons let go on, by the evidence in their logs.
	ByEvidence map[string]CheckedShare
	// Refused counts the attempts that daemons refused, by reason, and Unanswered those that no
	// daemon logged: it was killed meanwhile. Connections that failed are not counted.
	Refused    map[string]int
	Unanswered int
}

// CheckedShare is the number of attempts to take a stream up, and of those that brought an event.
type CheckedShare struct{ Attempts, Checked int }

// newStreamCounts returns counts of zero.
func newStreamCounts() StreamCounts {
	return StreamCounts{
		WithFault: map[string]int{}, TakeUpCounts: newTakeUpCounts(), AfterLoss: newTakeUpCounts(),
		ByLoss: map[string]CheckedShare{}, JoinedBy: map[string]int{},
	}
}

// newTakeUpCounts returns counts of zero.
func newTakeUpCounts() TakeUpCounts {
	return TakeUpCounts{ByEvidence: map[string]CheckedShare{}, Refused: map[string]int{}}
}

// lossKind is a kind of loss of daemons.
type lossKind string

// The kinds of losses. The last two describe what a stream has seen.
const (
	lossOfAll     lossKind = "all daemons"
	lossOfDomain  lossKind = "a failure domain"
	lossInTurn    lossKind = "replaced in turn"
	hiddenVersion lossKind = "hidden version"
	lossOfAllMore lossKind = "all daemons twice"
	noLoss        lossKind = "none"
)

// loss is a loss of daemons; ofAll is set if all were killed at the same moment.
type loss struct {
	kind  lossKind
	at    time.Time
	ofAll bool
}

// recordLoss records that daemons are killed now.
func (r *runner) recordLoss(kind lossKind, ofAll bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses = append(r.losses, loss{kind, time.Now(), ofAll})
}

// lossesOfAll returns the times of the losses of all daemons.
func (r *runner) lossesOfAll() []time.Time {
	var times []time.Time
	for _, l := range r.losses {
		if l.ofAll {
			times = append(times, l.at)
		}
	}
	return times
}

// lossBetween returns the kind of the last loss between two times.
func (r *runner) lossBetween(from, to time.Time) lossKind {
	kind, ofAll := noLoss, 0
	for _, l := range r.losses {
		if !l.at.After(from) || l.at.After(to) {
			continue
		}
		kind = l.kind
		if l.ofAll {
			ofAll++
		}
	}
	if kind == lossOfAll && ofAll > 1 {
		return lossOfAllMore
	}
	return kind
}

// takeUpLog is what daemons logged about the attempts to take streams up, by their IDs.
type takeUpLog struct {
	// evidence is that by which the version of the stream was known, and refusal the reason for
	// which the attempt failed before it ran.
	evidence, refusal map[string]string
}

// readTakeUpLogs reads the logs of all daemons.
func (r *runner) readTakeUpLogs() (takeUpLog, error) {
	l := takeUpLog{evidence: map[string]string{}, refusal: map[string]string{}}
	for _, d := range r.daemons {
		f, err := os.Open(filepath.Join(d.dir, d.name+".log"))
		if err != nil {
			return l, fmt.Errorf("soak: log of %s: %w", d.name, err)
		}
		err = l.read(f)
		_ = f.Close()
		if err != nil {
			return l, fmt.Errorf("soak: log of %s: %w", d.name, err)
		}
	}
	return l, nil
}

// maxLogLine is the longest line of a log in bytes.
const maxLogLine = 1 << 20

// unknownVersion finds the reason in the message of a request whose version is not known.
var unknownVersion = regexp.MustCompile(`not known: ([a-z_]+)`)

// read adds the lines of a log.
func (l takeUpLog) read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), " resumes=") {
			continue
		}
		fields := logfmtFields(lines.Text())
		id := fields["request"]
		switch fields["msg"] {
		case "stream taken up":
			l.evidence[id] = fields["evidence"]
		case "request":
			l.refusal[id] = fields["outcome"]
			if m := unknownVersion.FindStringSubmatch(fields["why"]); m != nil {
				l.refusal[id] = m[1]
			}
		}
	}
	return lines.Err()
}

// logfmtFields returns the fields of a line, KEY=VALUE each, in which a value may be quoted.
func logfmtFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(line, " "), "=")
		if !ok {
			break
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			fields[key], _ = strconv.Unquote(quoted) // QuotedPrefix has checked it
			line = rest[len(quoted):]
			continue
		}
		fields[key], line, _ = strings.Cut(rest, " ")
	}
	return fields
}

// countStreams counts the streams and how they were taken up.
func (r *runner) countStreams() {
	logged, err := r.readTakeUpLogs()
	if err != nil {
		r.recordViolation("%v", err)
	}
	c := &r.report.Streams
	for _, s := range r.allStreams() {
		if s.lastEvent() > 0 {
			c.Streams++
		}
		c.addFindings(s.findings(), logged)
	}
	for _, s := range r.callerStreams() {
		if len(s) > 1 {
			c.TakenUp++
		}
		for i, att := range s[1:] {
			c.addTakeUp(att, logged, r.lossBetween(s[0].startedAt, att.startedAt))
			if r.mustGoOnAfterLoss(s, i+1) {
				c.AfterLoss.add(att, logged)
			}
		}
	}
}

// addFindings counts a stream once for each kind of fault.
func (c *StreamCounts) addFindings(findings []streamFinding, logged takeUpLog) {
	seen := map[streamFault]bool{}
	for _, f := range findings {
		if seen[f.fault] {
			continue
		}
		seen[f.fault] = true
		c.WithFault[string(f.fault)]++
		if f.fault == joinedStream {
			c.JoinedBy[logged.evidenceOf(f.attempt)]++
		}
	}
}

// evidenceOf returns by which evidence an attempt took its stream up.
func (l takeUpLog) evidenceOf(att attempt) string {
	switch evidence, ok := l.evidence[att.call.ID]; {
	case att.call.Resumes == "":
		return "within one answer"
	case ok:
		return evidence
	}
	return "not logged"
}

// addTakeUp counts an attempt to take a stream up.
func (c *StreamCounts) addTakeUp(att attempt, logged takeUpLog, kind lossKind) {
	if !att.connected() {
		return
	}
	c.ByLoss[string(kind)] = c.ByLoss[string(kind)].plus(shareOf(att))
	c.add(att, logged)
}

// shareOf counts one attempt.
func shareOf(att attempt) CheckedShare {
	if att.lastEvent() > 0 {
		return CheckedShare{Attempts: 1, Checked: 1}
	}
	return CheckedShare{Attempts: 1}
}

// add counts an attempt to take a stream up.
func (c *TakeUpCounts) add(att attempt, logged takeUpLog) {
	share := shareOf(att)
	c.Attempts += share.Attempts
	c.Checked += share.Checked
	evidence, accepted := logged.evidence[att.call.ID]
	refusal, refused := logged.refusal[att.call.ID]
	switch {
	case accepted:
		c.ByEvidence[evidence] = c.ByEvidence[evidence].plus(share)
	case refused:
		c.Refused[refusal]++
	default:
		c.Unanswered++
	}
}

func (s CheckedShare) plus(other CheckedShare) CheckedShare {
	return CheckedShare{s.Attempts + other.Attempts, s.Checked + other.Checked}
}

// print writes the counts as text.
func (c StreamCounts) print(w io.Writer) {
	var faults []string
	for _, f := range streamFaults {
		faults = append(faults, fmt.Sprintf("%d %s", c.WithFault[string(f)], f))
	}
	fmt.Fprintf(w, "  %d streams with events: %s\n", c.Streams, strings.Join(faults, ", "))
	if len(c.JoinedBy) > 0 {
		fmt.Fprintf(w, "    joined by %s\n", counted(c.JoinedBy))
	}
	fmt.Fprintf(w, "  %d streams taken up in %d attempts, %d of which brought events that were checked\n", c.TakenUp, c.Attempts, c.Checked)
	if c.Attempts == 0 {
		return
	}
	c.TakeUpCounts.print(w)
	fmt.Fprintf(w, "    by loss: %s\n", shares(c.ByLoss))
}

// print writes the counts by evidence and reason as text.
func (c TakeUpCounts) print(w io.Writer) {
	fmt.Fprintf(w, "    by evidence: %s\n", shares(c.ByEvidence))
	fmt.Fprintf(w, "    refused or failed: %s; not answered %d\n", counted(c.Refused), c.Unanswered)
}

// counted writes counts as text, in the order of their names.
func counted(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return orNone(parts)
}

// shares writes shares as text, in the order of their names.
func shares(counts map[string]CheckedShare) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d of %d", name, counts[name].Checked, counts[name].Attempts))
	}
	return orNone(parts)
}

func orNone(parts []string) string {
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// checkedAfterLosses returns the number of attempts that brought events after a loss of daemons.
func (c StreamCounts) checkedAfterLosses() int {
	n := 0
	for kind, share := range c.ByLoss {
		if kind != string(noLoss) {
			n += share.Checked
		}
	}
	return n
}
