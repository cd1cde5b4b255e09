package fleet_test

import (
	"context"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// disconnectAt sends a request to an endpoint that does not respond, and disconnects.
func (f *fleet) disconnectAt(r *platformtest.Runner) {
	f.t.Helper()
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan response, 1)
	go func() { done <- f.requestWithContext(ctx, f.entries[0], "/chat/left", "is abandoned") }()
	f.eventually("the request runs", func() bool { return len(r.Runs()) == 1 })
	disconnect()
	<-done
	f.eventually("the attempt is over", func() bool { return f.entries[0].gateway.Dump().OpenRequests == 0 })
	if n := f.entries[0].gateway.Dump().SuspectContents; n != 0 {
		f.t.Errorf("%d contents are suspect before anything crashed", n)
	}
}

// addHangingEndpoint starts an endpoint that does not respond and is not replaced if it crashes.
func (f *fleet) addHangingEndpoint() *platformtest.Runner {
	f.t.Helper()
	r := platformtest.NewRunner("i-1", service, platformtest.Hang{})
	f.t.Cleanup(r.Close)
	r.StartedMS = 1
	f.store.PutEndpoint(r, "ready")
	f.eventually("the endpoint is used", func() bool { return len(f.entries[0].gateway.Directory().Endpoints().List) == 1 })
	return r
}

// awaitOneCrash waits until exactly one crash is attributed to exactly one content.
func (f *fleet) awaitOneCrash() {
	f.t.Helper()
	f.eventually("a crash is attributed", func() bool {
		d := f.entries[0].gateway.Dump()
		return len(d.Contents) == 1 && d.Contents[0].Crashes == 1
	})
}

// TestLaterStartCountsAsCrash checks that an endpoint listed with a later start counts as crashed
// under the runs to which it did not respond, even if it refuses no connection.
func TestLaterStartCountsAsCrash(t *testing.T) {
	f := newFleet(t, 1, 0)
	r := f.addHangingEndpoint()
	f.disconnectAt(r)
	r.StartedMS = 2
	f.store.PutEndpoint(r, "ready")
	f.awaitOneCrash()
}

// TestRefusedConnectionCountsAsCrash checks that an endpoint that refuses connections counts as
// crashed under the runs to which it did not respond, even if its record has not changed.
func TestRefusedConnectionCountsAsCrash(t *testing.T) {
	f := newFleet(t, 1, 0)
	r := f.addHangingEndpoint()
	f.disconnectAt(r)
	r.Close()
	f.request(f.entries[0], "/page/1", "another content")
	f.awaitOneCrash()
}
