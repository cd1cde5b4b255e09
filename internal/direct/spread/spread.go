// Package spread computes from the logs of many peers how long events take to reach all of them:
// settings that become active, endpoints that are leaving, gone or limited, evacuated data
// centres, lost peers.
package spread

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Kind is a kind of event.
type Kind string

// The kinds of events, each logged with one message.
const (
	SettingsActive  Kind = "settings in force"
	EndpointLeaving Kind = "endpoint leaving"
	EndpointGone    Kind = "endpoint gone"
	Evacuation      Kind = "evacuations"
	PeerLost        Kind = "entry lost"
	LimitAnnounced  Kind = "limit named"
	LimitRemoved    Kind = "limit over"
)

// repeatGap is the gap after which log lines report a new event: an endpoint or a peer may be
// lost more than once.
const repeatGap = 10 * time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Row describes how one event spread.
type Row struct {
	Kind    Kind
	Subject string
	First   time.Time     // when the first peer logged it
	Median  time.Duration // after First, until half of the peers that logged it had done so
	Last    time.Duration // after First, until all of them had
	Peers   int           // peers that logged it
}

// logLine holds the decoded fields of one log line.
type logLine struct {
	Message string    `json:"message"`
	At      time.Time `json:"timestamp"`
	Fields  struct {
		Version  uint64 `json:"version"`
		Revision uint64 `json:"revision"`
		Endpoint string `json:"endpoint"`
		Leaving  bool   `json:"leaving"`
		Peer     string `json:"peer"`
	} `json:"fields"`
}

// event returns the kind and subject of the logged event; false if the line logs none.
func (l logLine) event() (Kind, string, bool) {
	f := l.Fields
	switch l.Message {
	case "directory: Settings are active.":
		return SettingsActive, fmt.Sprint(f.Version), true
	case "directory: An endpoint was added or changed.":
		return EndpointLeaving, f.Endpoint, f.Leaving
	case "directory: An endpoint left the list.":
		return EndpointGone, f.Endpoint, true
	case "directory: The evacuated data centres changed.":
		return Evacuation, fmt.Sprint(f.Revision), true
	case "peers: Peer lost: no heartbeat received.":
		return PeerLost, f.Peer, true
	case "gateway: An endpoint advertises a rate limit.":
		return LimitAnnounced, f.Endpoint, true
	case "gateway: An endpoint no longer advertises a rate limit.":
		return LimitRemoved, f.Endpoint, true
	default:
		return "", "", false
	}
}

// eventKey identifies events of one kind and subject.
type eventKey struct {
	kind    Kind
	subject string
}

// Read reads the logs of all peers, in any order, and returns how each event spread, by kind and
// time. It ignores text before the JSON of a line, and lines without JSON.
func Read(logs io.Reader) ([]Row, error) {
	times := map[eventKey][]time.Time{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			continue // not a log line of a peer
		}
		if kind, subject, ok := l.event(); ok {
			k := eventKey{kind, subject}
			times[k] = append(times[k], l.At)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("spread: %w", err)
	}
	var rows []Row
	for k, all := range times {
		rows = append(rows, newRows(k, all)...)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), a.First.Compare(b.First), cmp.Compare(a.Subject, b.Subject))
	})
	return rows, nil
}

// newRows returns one row for each event with the given key.
func newRows(k eventKey, times []time.Time) []Row {
	slices.SortFunc(times, time.Time.Compare)
	var rows []Row
	for len(times) > 0 {
		n := 1
		for n < len(times) && times[n].Sub(times[n-1]) < repeatGap {
			n++
		}
		first := times[0]
		rows = append(rows, Row{
			Kind: k.kind, Subject: k.subject, First: first,
			Median: times[n/2].Sub(first), Last: times[n-1].Sub(first), Peers: n,
		})
		times = times[n:]
	}
	return rows
}

// Write writes for each kind the number of events and how they spread: the median and the
// largest of the times to half of the peers and to the last one.
func Write(to io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "news\tpieces\tentries\tmiddle ms\tlargest\tlast ms\tlargest\t") // Flush returns the error
	for len(rows) > 0 {
		kind := rows[0].Kind
		n := slices.IndexFunc(rows, func(r Row) bool { return r.Kind != kind })
		if n < 0 {
			n = len(rows)
		}
		writeKind(w, rows[:n])
		rows = rows[n:]
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("spread: %w", err)
	}
	return nil
}

// writeKind writes the line of one kind.
func writeKind(w io.Writer, rows []Row) {
	var medians, lasts []int64
	var peers []int
	for _, r := range rows {
		medians = append(medians, r.Median.Milliseconds())
		lasts = append(lasts, r.Last.Milliseconds())
		peers = append(peers, r.Peers)
	}
	slices.Sort(medians)
	slices.Sort(lasts)
	slices.Sort(peers)
	half, end := len(rows)/2, len(rows)-1
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", // Flush returns the error
		rows[0].Kind, len(rows), peers[half], medians[half], medians[end], lasts[half], lasts[end])
}
