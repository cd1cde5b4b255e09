package fleet_test

import (
	"context"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// leaveAt lets a caller ask for something at an endpoint that does not answer, and leave.
func (f *fleet) leaveAt(r *platformtest.Runner) {
	f.t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan reply, 1)
	go func() { gone <- f.askFor(ctx, f.entries[0], "/chat/left", "is left") }()
	f.eventually("it runs", func() bool { return len(r.Runs()) == 1 })
	leave()
	<-gone
	f.eventually("the attempt is over", func() bool { return f.entries[0].gateway.Dump().Open == 0 })
	if n := f.entries[0].gateway.Dump().Suspect; n != 0 {
		f.t.Errorf("%d contents are suspect before anything crashed", n)
	}
}

// aloneEndpoint starts an endpoint that does not answer and is not replaced.
func (f *fleet) aloneEndpoint() *platformtest.Runner {
	f.t.Helper()
	r := platformtest.NewRunner("i-1", service, platformtest.Hang{})
	f.t.Cleanup(r.Close)
	r.Born = 1
	f.store.Enter(r, "ready")
	f.eventually("the endpoint is used", func() bool { return len(f.entries[0].gateway.Directory().Endpoints().List) == 1 })
	return r
}

// oneCrash waits until one crash counts against one content.
func (f *fleet) oneCrash() {
	f.t.Helper()
	f.eventually("a crash counts", func() bool {
		d := f.entries[0].gateway.Dump()
		return len(d.Contents) == 1 && d.Contents[0].Crashes == 1
	})
}

// TestLaterStartTellsOfACrash holds that an endpoint which is listed with a later start has
// crashed under the runs that it did not answer, though it refuses no connection.
func TestLaterStartTellsOfACrash(t *testing.T) {
	f := newFleet(t, 1, 0)
	r := f.aloneEndpoint()
	f.leaveAt(r)
	r.Born = 2
	f.store.Enter(r, "ready")
	f.oneCrash()
}

// TestRefusalTellsOfACrash holds that an endpoint which refuses connections, while it is still
// listed as it was, has crashed under the runs that it did not answer.
func TestRefusalTellsOfACrash(t *testing.T) {
	f := newFleet(t, 1, 0)
	r := f.aloneEndpoint()
	f.leaveAt(r)
	r.Close()
	f.ask(f.entries[0], "/page/1", "another content")
	f.oneCrash()
}
