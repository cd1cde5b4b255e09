// Package spread reads from the kept logs of many entries how long news takes to reach them:
// settings in force, endpoints that leave, are gone or name a limit, evacuated data centres, lost entries.
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

// Kind is a kind of news.
type Kind string

// The kinds of news, each by the line of the log that tells of it.
const (
	SettingsInForce Kind = "settings in force"
	EndpointLeaving Kind = "endpoint leaving"
	EndpointGone    Kind = "endpoint gone"
	Evacuation      Kind = "evacuations"
	EntryLost       Kind = "entry lost"
	LimitNamed      Kind = "limit named"
	LimitOver       Kind = "limit over"
)

// sameNews is how long after one another lines tell the same news: an endpoint or an entry may
// go more than once.
const sameNews = 10 * time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Row is how one piece of news spread.
type Row struct {
	Kind    Kind
	Subject string
	First   time.Time     // it reached an entry
	Middle  time.Duration // after First, until half of those that it reached had it
	Last    time.Duration // until all of them had it
	Entries int           // that it reached
}

// line is one line of a log, as far as it is read.
type line struct {
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

// news returns what the line tells of; false for nothing.
func (l line) news() (Kind, string, bool) {
	f := l.Fields
	switch l.Message {
	case "directory: Settings are in force.":
		return SettingsInForce, fmt.Sprint(f.Version), true
	case "directory: An endpoint changed or came.":
		return EndpointLeaving, f.Endpoint, f.Leaving
	case "directory: An endpoint left the list.":
		return EndpointGone, f.Endpoint, true
	case "directory: The evacuated data centres changed.":
		return Evacuation, fmt.Sprint(f.Revision), true
	case "peers: An entry is lost: nothing was heard of it.":
		return EntryLost, f.Peer, true
	case "gateway: An endpoint names a limit.":
		return LimitNamed, f.Endpoint, true
	case "gateway: An endpoint names no limit any more.":
		return LimitOver, f.Endpoint, true
	default:
		return "", "", false
	}
}

// topic is what lines are gathered by.
type topic struct {
	kind    Kind
	subject string
}

// Read reads the logs of all entries, in any order, and returns how each piece of news spread,
// by kind and time. What stands before the JSON of a line is passed over, and so is a line
// without any.
func Read(logs io.Reader) ([]Row, error) {
	times := map[topic][]time.Time{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			continue // another program's line
		}
		if kind, subject, ok := l.news(); ok {
			t := topic{kind, subject}
			times[t] = append(times[t], l.At)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("spread: %w", err)
	}
	var rows []Row
	for t, all := range times {
		rows = append(rows, rowsOf(t, all)...)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), a.First.Compare(b.First), cmp.Compare(a.Subject, b.Subject))
	})
	return rows, nil
}

// rowsOf returns the pieces of news on one topic.
func rowsOf(t topic, times []time.Time) []Row {
	slices.SortFunc(times, time.Time.Compare)
	var rows []Row
	for len(times) > 0 {
		n := 1
		for n < len(times) && times[n].Sub(times[n-1]) < sameNews {
			n++
		}
		first := times[0]
		rows = append(rows, Row{
			Kind: t.kind, Subject: t.subject, First: first,
			Middle: times[n/2].Sub(first), Last: times[n-1].Sub(first), Entries: n,
		})
		times = times[n:]
	}
	return rows
}

// Write writes for each kind how many pieces of news there were and how they spread: the
// middle and the largest of the times to half of the entries and to the last one.
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

// writeKind writes the line of a kind, whose rows are given.
func writeKind(w io.Writer, rows []Row) {
	var middles, lasts []int64
	var entries []int
	for _, r := range rows {
		middles = append(middles, r.Middle.Milliseconds())
		lasts = append(lasts, r.Last.Milliseconds())
		entries = append(entries, r.Entries)
	}
	slices.Sort(middles)
	slices.Sort(lasts)
	slices.Sort(entries)
	half, end := len(rows)/2, len(rows)-1
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", // Flush returns the error
		rows[0].Kind, len(rows), entries[half], middles[half], middles[end], lasts[half], lasts[end])
}
