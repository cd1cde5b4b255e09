package resumption_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
)

// TestProcessIsCertainByALaterList guards against a process that is taken for that of a record which it has replaced.
func TestProcessIsCertainByALaterList(t *testing.T) {
	first := placement.Endpoint{ID: "i-1", Service: "pool", StartedMS: 1, Version: "v1", Engine: true}
	second := first
	second.StartedMS, second.Version = 2, "v2"
	retained := first
	retained.Retained = true
	for _, c := range []struct {
		name      string
		confirmed time.Duration // of the list, after the answer at 1 s
		list      placement.Endpoint
		certain   bool
	}{
		{"the list is older than the answer", 0, first, false},
		{"a process that started before the answer may not be listed yet", 1900 * time.Millisecond, first, false},
		{"the list is a second newer", 2 * time.Second, first, true},
		{"the record is that of another start", 2 * time.Second, second, false},
		{"the record has left the list", 2 * time.Second, retained, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v resumption.Versions
			v.Observe(at(0), []placement.Endpoint{first})
			v.RecordProcess(first.Incarnation(), "7", at(time.Second))
			v.Observe(at(1500*time.Millisecond), []placement.Endpoint{c.list})
			v.Confirm(at(c.confirmed))
			if name, certain := v.Process(first.Incarnation()); certain != c.certain || certain && name != "7" {
				t.Errorf("process %q, certain %v", name, certain)
			}
		})
	}
}

// TestCertainProcessOutlastsLaterAnswers guards against the next process at an address that takes the place of the certain one.
func TestCertainProcessOutlastsLaterAnswers(t *testing.T) {
	e := placement.Endpoint{ID: "i-1", Service: "pool", StartedMS: 1, Version: "v1", Engine: true}
	var v, started resumption.Versions
	v.Observe(at(0), []placement.Endpoint{e})
	if len(v.WithoutProcess([]placement.Endpoint{e})) != 1 {
		t.Error("the engine is not asked")
	}
	v.RecordProcess(e.Incarnation(), "7", at(0))
	v.Confirm(at(time.Second))
	v.RecordProcess(e.Incarnation(), "8", at(5*time.Second))
	v.Confirm(at(9 * time.Second))
	started.Observe(at(9*time.Second), []placement.Endpoint{e})
	started.Restore(at(9*time.Second), at(9*time.Second), v.Snapshot(at(9*time.Second)))
	for _, known := range []*resumption.Versions{&v, &started} {
		if name, certain := known.Process(e.Incarnation()); name != "7" || !certain {
			t.Errorf("process %q, certain %v", name, certain)
		}
	}
}
