package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

const decisionsFile = "testdata/decisions.golden"

// TestGoldenDecisions replays a recorded series of requests and compares each choice and
// rejection with the golden file. The requests differ, endpoints are added, removed, fail and
// slow down, and another entry sends requests too.
func TestGoldenDecisions(t *testing.T) {
	const requests = 900
	table := engineTable(12)
	table.SetServices([]placement.Service{
		{Name: "pool", MemoryTokens: 120_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond, MaxRequests: 40},
		{Name: "app", MaxRequests: 20},
	})
	endpoints := engines(12)
	endpoints[3].DataCentre = "zone-2"
	for n := range 3 {
		endpoints = append(endpoints, placement.Endpoint{ID: fmt.Sprint("app-", n), Service: "app", DataCentre: "zone-1", Slots: 6})
	}
	table.SetEndpoints(origin, endpoints)
	random := rand.New(rand.NewPCG(1, 2))
	now := origin
	var open []openRequest
	var got strings.Builder
	for n := range requests {
		now = now.Add(time.Duration(1+n%9) * time.Millisecond)
		q := recordedRequest(n, random)
		c, ok := table.Choose(now, q, func(id string) bool { return n%11 == 0 && id == "e-1" }, random)
		if !ok {
			fmt.Fprintf(&got, "%d none\n", n)
			continue
		}
		retry, admitted := admit(c, q, q.TimeLeft)
		fmt.Fprintf(&got, "%d %s cost=%.3f wait=%.1f first=%.1f read=%d again=%d long=%t pool=%d taken=%.3f factor=%.3f admitted=%t retry=%s terms=%.3f\n",
			n, c.Endpoint.ID, c.Cost, c.WaitMS, c.FirstMS, c.PrefillTokens, c.RecomputedTokens, c.Long, c.PoolSize, c.BusyShare, c.Slowdown, admitted, retry.Round(time.Millisecond), c.Terms)
		if !admitted {
			continue
		}
		id := placement.AttemptID{Owner: 1 + uint64(n%2), Number: uint64(n)}
		table.Place(now, id, c.Endpoint.ID, q, memory.Fetch{})
		firstAt := now.Add(time.Duration((c.FirstMS + extraMS(c.Endpoint.ID, q)) * float64(time.Millisecond)))
		open = append(open, openRequest{id: id, number: n, firstAt: firstAt, endsAt: firstAt.Add(time.Duration(300+n%500) * time.Millisecond)})
		open = advance(table, now, open)
		if n == requests/2 { // one is leaving, another is no longer listed
			endpoints[5].Leaving = true
			table.SetEndpoints(now, endpoints[:len(endpoints)-1])
		}
		if n%50 == 0 {
			table.Expire(now)
		}
		if n == 700 {
			table.DropOwner(now, 2)
		}
	}
	for _, s := range table.States(now) {
		fmt.Fprintf(&got, "%s requests=%d reading=%.1f factor=%.3f errors=%.3f kept=%d\n", s.ID, s.Requests, s.BacklogMS, s.Slowdown, s.Failures, s.CachedTokens)
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(decisionsFile, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatal(err)
	}
	wantLines := strings.Split(string(want), "\n")
	for n, line := range strings.Split(got.String(), "\n") {
		if n >= len(wantLines) || line != wantLines[n] {
			t.Fatalf("line %d differs\ngot:  %s\nwant: %s", n+1, line, wantLines[min(n, len(wantLines)-1)])
		}
	}
}

// extraMS returns by how many ms the first event is later than expected. One engine prefills at
// a third of the speed, and each event has a network delay.
func extraMS(endpoint string, q placement.Request) float64 {
	const networkMS, msPerToken = 3, 0.04
	if endpoint != "e-2" {
		return networkMS
	}
	return networkMS + msPerToken*float64(q.Prompt.Tokens)
}

// recordedRequest returns the nth request: short chats, long prompts with shared prefixes, and
// calls of a service without a model.
func recordedRequest(n int, random *rand.Rand) placement.Request {
	var q placement.Request
	switch n % 5 {
	case 0:
		q = shortRequest(uint64(1000 + n))
	case 1, 2:
		q = longRequest(uint64(50+random.IntN(4)), uint64(1000+n))
	case 3:
		q = shortRequest(uint64(1000 + n))
		q.Priority, q.InterEventTarget, q.FirstEventTarget = 5, 0, 400*time.Millisecond
	default:
		q = placement.Request{Service: "app", FirstEventTarget: 300 * time.Millisecond}
	}
	q.TimeLeft = 12 * time.Second
	return q
}

// openRequest is an open request of the recorded series.
type openRequest struct {
	id      placement.AttemptID
	number  int
	firstAt time.Time // first event
	started bool
	endsAt  time.Time
}

// advance applies the events of the open requests that are due, and returns the requests that
// are still open.
func advance(table *placement.Table, now time.Time, open []openRequest) []openRequest {
	outcomes := []placement.Outcome{
		placement.Succeeded, placement.Succeeded, placement.Succeeded, placement.Succeeded, placement.Succeeded,
		placement.Abandoned, placement.Rejected, placement.Errored, placement.Broken, placement.Unreachable,
	}
	var stillOpen []openRequest
	for _, r := range open {
		if !r.started && !now.Before(r.firstAt) {
			r.started = true
			table.FirstEvent(r.firstAt, r.id)
		}
		if now.Before(r.endsAt) {
			if r.started {
				table.NextEvent(now, r.id)
			}
			stillOpen = append(stillOpen, r)
			continue
		}
		table.End(now, r.id, outcomes[r.number%len(outcomes)])
	}
	return stillOpen
}
