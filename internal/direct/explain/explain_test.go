package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/direct/explain"
	"foxcross.dev/foxcross/internal/testing/golden"
)

func TestReport(t *testing.T) {
	log, err := os.Open("testdata/entry.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	var out bytes.Buffer
	found, err := explain.Report(&out, log, "51c5b1ff8983e159")
	if err != nil || !found {
		t.Fatalf("found %v: %v", found, err)
	}
	golden.Compare(t, "report.golden", out.String())
}

func TestReportOnUnknownRequest(t *testing.T) {
	found, err := explain.Report(&bytes.Buffer{}, strings.NewReader("no JSON\n{\"fields\":{\"request\":\"b\"}}\n"), "a")
	if found || err != nil {
		t.Errorf("found %v: %v", found, err)
	}
}

func TestTooLongLineFails(t *testing.T) {
	if _, err := explain.Report(&bytes.Buffer{}, strings.NewReader(strings.Repeat("x", 2<<20)), "a"); err == nil {
		t.Error("a line longer than maxLineBytes was accepted")
	}
}

func TestReportListsEndpointSignals(t *testing.T) {
	const log = `{"fields":{"request":"a","code":1000,"resumes":{"request":"b","after":"4","origin":"peer","begun_at":"i-9","version":"v1","begun_ms_ago":70,"list_ms_ago":600,"observed":true,"peers_asked":true},"prompt_parts":["5c1e07a2","91bd3f06"],"sends":[` +
		`{"endpoint":"i-1","version":"v1.1","outcome":"status 200","limit":"2.2"},` +
		`{"endpoint":"i-2","outcome":"not run, Service Unavailable","retry_after":"3"},` +
		`{"endpoint":"i-3","outcome":"the endpoint crashed: EOF","not_resumed":"no endpoint of version v2 may take it, by a list of endpoints that was the newest 40 ms ago","draining":"1","crashed_silent":true,"replica":"i-4@5"},` +
		`{"endpoint":"i-4","outcome":"status 200","continued_from":"i-3","continued_after":"7"}]}}`
	var out bytes.Buffer
	if _, err := explain.Report(&out, strings.NewReader(log), "a"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"send 1 to i-1 (version v1.1)", `resumes the stream that request b began, after event "4"`, "begun at version v1 by i-9, 70 ms before; known from: peer",
		"known of the service: several versions, observed for long enough, by a list that was the newest 600 ms before; other entries were asked", "named a limit of 2.2 requests a second", "had Retry-After: 3", "its stream was not resumed: no endpoint of version v2 may take it, by a list of endpoints that was the newest 40 ms ago", "had the sign of draining: 1",
		"the run's memory is copied to i-4@5", "others may share: 5c1e07a2, 91bd3f06", "its endpoint crashed before the first event", `continues the run from its copy, after event "7": i-3 has crashed`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %s", want, out.String())
		}
	}
}

func TestReportComparesTheTeamWithItsShare(t *testing.T) {
	const log = `{"fields":{"request":"a","team":"t","standing":2.5,"code":1201,"reason":"prompts wait too long, and the team is above its share"}}
{"fields":{"request":"b","team":"u","standing":0.25,"code":1000}}
{"fields":{"request":"c","team":"u","code":1000}}`
	for id, want := range map[string]string{
		"a": "the team had 2.50 of its share: above it",
		"b": "the team had 0.25 of its share: not refused because of teams above theirs",
	} {
		var out bytes.Buffer
		if _, err := explain.Report(&out, strings.NewReader(log), id); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %s", want, out.String())
		}
	}
	var out bytes.Buffer
	if _, err := explain.Report(&out, strings.NewReader(log), "c"); err != nil || strings.Contains(out.String(), "share") {
		t.Errorf("a request without contention: %v, %s", err, out.String())
	}
}

func TestReportTellsWhyAdmissionHeldOrRefused(t *testing.T) {
	const log = `{"fields":{"request":"a","code":1000,"admission":{"outcome":"deferred","state":"contended","returned":true,"held_ms":320,"line_ms":9000,"asked":31.4,"capacity":28.2}}}
{"fields":{"request":"a","code":1201,"admission":{"outcome":"refused","state":"contended, draining","returned":false,"early_ms":400,"held_ms":0,"line_ms":600,"asked":9,"capacity":30,"return_ms":1250}}}`
	var out bytes.Buffer
	if _, err := explain.Report(&out, strings.NewReader(log), "a"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"admission: deferred after 320 ms; state of the service: contended, 31.4 ms of prefill asked for per ms, 28.2 can be computed, 9000 ms in line",
		"came back in time: it goes before new ones",
		"admission: refused after 0 ms; state of the service: contended, draining",
		"came back 400 ms early: it keeps its place",
		"may return after 1250 ms",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %s", want, out.String())
		}
	}
}

func TestReportTellsThatNoListWasEverTheNewest(t *testing.T) {
	const log = `{"fields":{"request":"a","code":1309,"resumes":{"request":"b","after":"3","origin":"unknown","list_ms_ago":-1,"observed":false,"peers_asked":true}}}`
	var out bytes.Buffer
	if _, err := explain.Report(&out, strings.NewReader(log), "a"); err != nil {
		t.Fatal(err)
	}
	if want := "by a list that was never known to be the newest"; !strings.Contains(out.String(), want) {
		t.Errorf("%q is missing in %s", want, out.String())
	}
}
