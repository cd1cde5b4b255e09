// Package explain reports from an entry's log how one request was handled. It writes the
// request's log line as text, and the preceding lines about settings, endpoints, the
// store and other entries. It also reads logs of earlier versions (testdata/entry.log).
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
	// maxLineBytes bounds a line of the log.
	maxLineBytes = 1 << 20
	// maxContextLines bounds the buffered lines that belong to no request.
	maxContextLines = 4096
	// contextWindow is how far before the arrival of a request lines are still reported. It
	// covers the loss and return of the store or another entry.
	contextWindow = 5 * time.Second
)

// Report writes the report on the request, with the log lines that precede its end.
// It returns false if the log doesn't contain the request.
func Report(w io.Writer, log io.Reader, request string) (bool, error) {
	var matches []record.Line
	var others []record.Line
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := record.Parse(lines.Text())
		switch {
		case !ok:
		case line.Fields.ID == request:
			matches = append(matches, line)
		case line.Fields.ID == "":
			if len(others) == maxContextLines {
				others = others[1:]
			}
			others = append(others, line)
		}
	}
	if err := lines.Err(); err != nil {
		return false, fmt.Errorf("explain: %w", err)
	}
	var report strings.Builder
	for _, line := range matches {
		writeRequest(&report, line.Fields)
		for _, other := range others {
			if offset := other.At.Sub(line.At); offset >= -contextWindow-line.Fields.Total() && offset <= 0 {
				fmt.Fprintf(&report, "  %8.3f s  %s\n", offset.Seconds(), other.Raw)
			}
		}
	}
	if _, err := io.WriteString(w, report.String()); err != nil {
		return false, fmt.Errorf("explain: %w", err)
	}
	return len(matches) > 0, nil
}

// writeRequest writes the request's log line as text.
func writeRequest(w *strings.Builder, f record.Request) {
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
	writeStanding(w, f)
	writeAdmission(w, f.Admission)
	writeResumption(w, f.Resumes)
	if len(f.Parts) > 0 {
		fmt.Fprintf(w, "  parts of its prompt that others may share: %s\n", strings.Join(f.Parts, ", "))
	}
	for n, a := range f.Attempts {
		fmt.Fprintf(w, "  send %d to %s%s: %s\n", n+1, a.Endpoint, versionText(a.Version), a.Outcome)
		fmt.Fprintf(w, "    expected: %.0f ms of waiting, first event after %.0f ms, %d tokens to read, slowness %.2f\n",
			a.WaitMS, a.FirstMS, a.PrefillTokens, a.Slowdown)
		if a.Silent {
			fmt.Fprintln(w, "    its endpoint crashed before the first event")
		}
		if a.Ended != "" {
			fmt.Fprintf(w, "    the body of its response ended: %s (framing: %s)\n", a.Ended, a.Framing)
		}
		if a.Limit != "" {
			fmt.Fprintf(w, "    its answer named a limit of %s requests a second\n", a.Limit)
		}
		if a.RetryAfter != "" {
			fmt.Fprintf(w, "    its response had Retry-After: %s\n", a.RetryAfter)
		}
		if a.Draining != "" {
			fmt.Fprintf(w, "    its response had the sign of draining: %s\n", a.Draining)
		}
		if a.Replica != "" {
			fmt.Fprintf(w, "    the run's memory is copied to %s\n", a.Replica)
		}
		if a.NotResumed != "" {
			fmt.Fprintf(w, "    its stream was not resumed: %s\n", a.NotResumed)
		}
		if a.NotContinued != "" {
			fmt.Fprintf(w, "    not continued from the copy: %s\n", a.NotContinued)
		}
		if a.ContinuedFrom != "" {
			fmt.Fprintf(w, "    continues the run from its copy, after event %q: %s has crashed\n", a.ContinuedAfter, a.ContinuedFrom)
		}
		if a.FetchedTokens > 0 {
			fmt.Fprintf(w, "    fetches %d tokens from %s, expected to take %.0f ms\n", a.FetchedTokens, a.Source, a.FetchMS)
		}
		t := a.Terms
		fmt.Fprintf(w, "    cost %.2f = late %.2f + harm %.2f + again %.2f + crowding %.2f + pool %.2f + trouble %.2f + distance %.2f\n",
			a.Cost, t.Late, t.Interference, t.Recompute, t.Saturation, t.Pool, t.Unreliability, t.Distance)
	}
}

// writeResumption writes which stream the request resumes, and what was known about it.
func writeResumption(w *strings.Builder, r *record.Resumption) {
	if r == nil {
		return
	}
	fmt.Fprintf(w, "  resumes the stream that request %s began, after event %q\n", r.Request, r.After)
	switch {
	case r.Version == "":
		fmt.Fprintln(w, "    which version began it is not known")
	case r.Endpoint == "":
		fmt.Fprintf(w, "    begun at version %s: %s\n", r.Version, r.Source)
	default:
		fmt.Fprintf(w, "    begun at version %s by %s, %d ms before; known from: %s\n", r.Version, r.Endpoint, r.AgeMS, r.Source)
	}
	only, observed, asked := "several versions", "not observed for long enough", "no other entries were asked"
	if r.OnlyVersion != "" {
		only = "only version " + r.OnlyVersion
	}
	if r.Observed {
		observed = "observed for long enough"
	}
	if r.PeersAsked {
		asked = "other entries were asked"
	}
	listed := fmt.Sprintf("by a list that was the newest %d ms before", r.ListAgeMS)
	if r.ListAgeMS == record.NeverListed {
		listed = "by a list that was never known to be the newest"
	}
	fmt.Fprintf(w, "    known of the service: %s, %s, %s; %s\n", only, observed, listed, asked)
}

// versionText returns the version of an endpoint's software as it follows the endpoint, empty for
// unknown.
func versionText(version string) string {
	if version == "" {
		return ""
	}
	return " (version " + version + ")"
}

// writeStanding writes what the team was given of the service's engine time, compared with its share.
func writeStanding(w *strings.Builder, f record.Request) {
	switch {
	case f.Standing <= 0:
	case f.Standing > 1:
		fmt.Fprintf(w, "  engines were contended; the team had %.2f of its share: above it, so that it is refused first and queues behind\n", f.Standing)
	default:
		fmt.Fprintf(w, "  engines were contended; the team had %.2f of its share: not refused because of teams above theirs\n", f.Standing)
	}
}

// writeAdmission writes why a request was held or refused.
func writeAdmission(w *strings.Builder, a *record.Admission) {
	if a == nil {
		return
	}
	fmt.Fprintf(w, "  admission: %s after %d ms; state of the service: %s, %.1f ms of prefill asked for per ms, %.1f can be computed, %d ms in line\n",
		a.Outcome, a.HeldMS, a.State, a.Asked, a.Capacity, a.LineMS)
	switch {
	case a.Returned:
		fmt.Fprintln(w, "    the caller was refused before and came back in time: it goes before new ones")
	case a.EarlyMS > 0:
		fmt.Fprintf(w, "    the caller was refused before and came back %d ms early: it keeps its place\n", a.EarlyMS)
	}
	if a.ReturnMS > 0 {
		fmt.Fprintf(w, "    it may return after %d ms: that is its place in line\n", a.ReturnMS)
	}
}
