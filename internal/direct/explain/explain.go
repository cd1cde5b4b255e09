// Package explain tells from an entry's log what became of one request: its own line
// in words, and the lines about settings, endpoints, the store and other entries that
// came before. It reads logs of earlier versions too (testdata/entry.log).
package explain

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/direct/record"
)

const (
	// maxLine bounds a line of the log, in bytes.
	maxLine = 1 << 20
	// maxContext bounds the remembered lines that are of no request.
	maxContext = 4096
	// contextBefore is how long before a request came lines still belong to its story. Other
	// entries and the store are lost and back within it.
	contextBefore = 5 * time.Second
)

// Story writes what the log says of the request and of what changed around it.
// It returns false where the log doesn't name the request.
func Story(w io.Writer, log io.Reader, request string) (bool, error) {
	var found []record.Line
	var context []record.Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := record.Parse(scanner.Text())
		switch {
		case !ok:
		case l.Fields.ID == request:
			found = append(found, l)
		case l.Fields.ID == "":
			if len(context) == maxContext {
				context = context[1:]
			}
			context = append(context, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return false, fmt.Errorf("explain: %w", err)
	}
	var story strings.Builder
	for _, l := range found {
		tell(&story, l.Fields)
		for _, c := range context {
			if off := c.At.Sub(l.At); off >= -contextBefore-l.Fields.Total() && off <= 0 {
				fmt.Fprintf(&story, "  %8.3f s  %s\n", off.Seconds(), c.Raw)
			}
		}
	}
	if _, err := io.WriteString(w, story.String()); err != nil {
		return false, fmt.Errorf("explain: %w", err)
	}
	return len(found) > 0, nil
}

// tell writes the request's own line in words.
func tell(w *strings.Builder, f record.Request) {
	e := f.Code.Entry()
	fmt.Fprintf(w, "request %s ended with %s: %s\n", f.ID, f.Code, e.Text)
	if f.Reason != "" {
		fmt.Fprintf(w, "  reason: %s; run: %s\n", f.Reason, f.Run)
	}
	fmt.Fprintf(w, "  class %s, team %s, service %s, priority %d, %d ms in all", f.Class, f.Team, f.Service, f.Priority, f.TotalMS)
	if f.FirstMS != nil {
		fmt.Fprintf(w, ", first event after %d ms, longest pause %d ms", *f.FirstMS, f.PauseMS)
	}
	fmt.Fprintln(w)
	for n, s := range f.Attempts {
		fmt.Fprintf(w, "  send %d to %s: %s\n", n+1, s.Endpoint, s.Outcome)
		fmt.Fprintf(w, "    expected: %.0f ms of waiting, first event after %.0f ms, %d tokens to read, slowness %.2f\n",
			s.WaitMS, s.FirstMS, s.PrefillTokens, s.Slowdown)
		if s.Limit != "" {
			fmt.Fprintf(w, "    its answer named a limit of %s requests a second\n", s.Limit)
		}
		if s.RetryAfter != "" {
			fmt.Fprintf(w, "    its response had Retry-After: %s\n", s.RetryAfter)
		}
		if s.Draining != "" {
			fmt.Fprintf(w, "    its response had the sign of draining: %s\n", s.Draining)
		}
		if s.FetchedTokens > 0 {
			fmt.Fprintf(w, "    fetches %d tokens from %s, expected to take %.0f ms\n", s.FetchedTokens, s.Source, s.FetchMS)
		}
		t := s.Terms
		fmt.Fprintf(w, "    cost %.2f = late %.2f + harm %.2f + again %.2f + crowding %.2f + pool %.2f + trouble %.2f + distance %.2f\n",
			s.Cost, t.Late, t.Harm, t.Reread, t.Crowding, t.Pool, t.Trouble, t.Distance)
	}
}
