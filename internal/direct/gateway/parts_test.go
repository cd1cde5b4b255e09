package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/steady"
)

// TestTrialOfAPartOutlastsASecondLook guards against a trial that ends when admission holds its request.
func TestTrialOfAPartOutlastsASecondLook(t *testing.T) {
	g := New(Options{Driver: fieldsOnlyDriver{}, Owner: 1})
	q := &request{incoming: httptest.NewRequest("POST", "/chat/1", nil)}
	q.spec.Service = "pool"
	q.spec.Prompt = memory.Prompt{Parts: []memory.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}}}
	past := steady.Now().Add(-90 * time.Second)
	g.suspects.update(func(table *quarantine.Table) {
		for n := range 3 {
			at := past.Add(time.Duration(n) * 2 * time.Second)
			table.RecordCrash(fmt.Sprint("i-", n), at, 0, quarantine.Run{Content: q.partKeys()[0], Started: at, Source: quarantine.Source(n)})
		}
	})
	f := &forwarding{gateway: g, ctx: context.Background(), request: q}
	for look := range 2 {
		if refusal := f.checkQuarantine(); refusal != nil {
			t.Errorf("look %d: %v", look, refusal.Reason)
		}
	}
	if f.trial.key != q.partKeys()[0] {
		t.Error("the request is no trial")
	}
}
