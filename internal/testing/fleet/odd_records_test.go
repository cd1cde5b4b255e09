package fleet_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// oddEndpoints returns records below the prefix of endpoints that another writer may leave, by key. Each names
// an address that refuses connections, unless it is unreadable.
func oddEndpoints(refusing string) map[string]string {
	const nesting = 100_000
	deep := strings.Repeat("[", nesting) + strings.Repeat("]", nesting)
	tooLarge := "1" + strings.Repeat("0", 400)
	long := strings.Repeat("x", 100<<10)
	record := func(changes string) string { // of two equal fields the last one counts
		return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"zone-1","version":"v1","slots":8,"state":"ready","seq":1%s}`, service, refusing, changes)
	}
	return map[string]string{
		"servers/nested":       deep,
		"servers/nested-field": record(`,"models":` + deep),
		"servers/no-text":      "\x00\xff\xfe",
		"servers/port-0":       record(`,"address":"127.0.0.1:0"`),
		"servers/port-65536":   record(`,"address":"127.0.0.1:65536"`),
		"servers/slots":        record(`,"slots":9223372036854775807`),
		"servers/more-slots":   record(`,"slots":` + tooLarge),
		"servers/warmup":       record(`,"warmupLeftMs":1e300`),
		"servers/born":         record(`,"born":` + tooLarge),
		"servers/version":      record(`,"version":"` + long + `"`),
		"servers/":             record(""),
		"servers/i-1\r\nX: y":  record(""),
		"servers/" + long:      record(""),
	}
}

// TestOddRecordsDoNotStopEntries guards against entries that end, stop following, or send requests to what is no endpoint.
func TestOddRecordsDoNotStopEntries(t *testing.T) {
	f := newFleet(t, 2, 1)
	gone := platformtest.NewRunner("gone", service, platformtest.Hang{})
	gone.Close()
	odd := oddEndpoints(gone.Address())
	added := 0
	for key, value := range odd {
		name := key[:min(len(key), 30)]
		f.store.PutBytes(key, []byte(value))
		added++
		f.addEndpoint(fmt.Sprint("later-", added), 1, "v1")
		for _, e := range f.entries {
			f.eventually(fmt.Sprintf("an endpoint is listed after %q", name), func() bool {
				return slices.ContainsFunc(e.gateway.Dump().Endpoints, func(s placement.EndpointState) bool { return s.ID == fmt.Sprint("later-", added) })
			})
			if listed := len(e.gateway.Dump().Endpoints); listed != 1+added {
				t.Errorf("%q: %d endpoints are listed, want %d", name, listed, 1+added)
			}
			for n := range 5 {
				if a := f.do(f.newRequest(t.Context(), e, fmt.Sprint("/book/", n), "x")); a.status != http.StatusOK {
					t.Errorf("%q: status %d, %s", name, a.status, a.body)
				}
			}
		}
	}
	f.addEntry(true) // reads them all at its start
	last := f.entries[len(f.entries)-1]
	f.eventually("the list is read whole", func() bool { return len(last.gateway.Dump().Endpoints) == 1+added })
}
