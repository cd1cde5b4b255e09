package peers_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/thinlink"
)

// These tests guard against a time limit on a whole transfer. If a peer fetched settings and
// endpoints in one response within 0.6 s, a link of 10 Mbit/s would carry 750 kB of it, and each
// fetch would start again from the beginning: of 464 fetches that such a limit ended in a day, 252
// had transferred 600 to 708 kB. While 1,400 routes were added several times and endpoints were
// replaced, peers with links of 200 Mbit/s had each version within a second, and those with
// 10 Mbit/s never got it, nor later changes of the endpoints. They used settings replaced six
// seconds before, and sent requests to endpoints that had announced three seconds before that
// they leave.

// thinRate is a link of 10 Mbit/s, in bytes a second.
const thinRate = 10_000_000 / 8

// newKeySettings returns settings of about 4 MB of key hashes, which do not compress.
func newKeySettings(version int) settings.Tree {
	const teams, keys = 10_000, 5
	nodes := map[string]settings.Node{"": {}, "teams": {}}
	for t := range teams {
		var hashes []string
		for k := range keys {
			sum := sha256.Sum256(fmt.Append(nil, version, t, k))
			hashes = append(hashes, hex.EncodeToString(sum[:]))
		}
		nodes[fmt.Sprint("teams/team-", t)] = settings.Node{Kind: settings.Team, Set: settings.Fields{KeyHashes: &hashes}}
	}
	return settings.NewTree(nodes)
}

// newPeersOverLink starts a peer with the given settings and a list of endpoints, and one that
// reaches it over a link of rate bytes a second.
func newPeersOverLink(t *testing.T, rate int, known settings.Tree) (ahead, behind *directory.Directory) {
	t.Helper()
	ahead = newDirectory()
	ahead.ApplySettings(5, known, "test")
	ahead.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1"}, {ID: "i-2"}}}, "test")
	seed := runPeer(t, "ahead", 1, ahead, nil)
	link, err := thinlink.New(seed, rate)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	behind = newDirectory()
	runPeer(t, "behind", 2, behind, func(string) string { return link.Address() }, seed)
	return ahead, behind
}

func newDirectory() *directory.Directory {
	return directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
}

// runPeer runs a peer and returns its address. It fetches the state of another peer from the
// address that route returns.
func runPeer(t *testing.T, name string, owner uint64, d *directory.Directory, route func(string) string, seeds ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := &http.Server{Handler: peers.StateHandler(d)}
	go func() { _ = server.Serve(listener) }()
	group, err := peers.New(peers.Options{
		Name: name, Address: address, Owner: owner, Seeds: seeds, Listener: &testPeer{}, Directory: d,
		Fetch: func(ctx context.Context, from string, p peers.Part) {
			_ = peers.FetchState(ctx, d, route(from), p) // errors are retried; the test checks the directory
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		group.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = server.Close()
	})
	return address
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

func version(d *directory.Directory) uint64 {
	v, _ := d.Versions()
	return v
}

func revision(d *directory.Directory) uint64 {
	_, r := d.Versions()
	return r
}

func TestLargeSettingsOverThinLink(t *testing.T) {
	_, behind := newPeersOverLink(t, thinRate, newKeySettings(5))
	waitFor(t, "transfer of the settings", func() bool { return version(behind) == 5 })
}

// TestEndpointChangeDuringLargeTransfer has an endpoint leave while settings are transferred
// over a link that takes more than half a minute for them.
func TestEndpointChangeDuringLargeTransfer(t *testing.T) {
	const slowRate = thinRate / 20
	ahead, behind := newPeersOverLink(t, slowRate, newKeySettings(5))
	waitFor(t, "transfer of the list", func() bool { return revision(behind) == 9 })
	ahead.Apply(driver.Change{Revision: 10, Changed: []placement.Endpoint{{ID: "i-1", Leaving: true}}})
	waitFor(t, "transfer of the leaving endpoint", func() bool { return revision(behind) == 10 })
	if version(behind) == 5 {
		t.Error("the settings arrived before the endpoint change; the link is too wide for the test")
	}
	if behind.Ready() {
		t.Error("a peer without settings counts as ready")
	}
}

// TestPeerThatRefusesIsNotAskedAtOnce guards against requests that keep a busy peer from its work.
func TestPeerThatRefusesIsNotAskedAtOnce(t *testing.T) {
	const requests = 6
	leastTime := (50 + 100 + 200 + 400 + 400) * time.Millisecond // between them
	asked := make(chan time.Time, 1000)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("part") == peers.SettingsPart.String() {
			asked <- time.Now()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	ahead := newDirectory()
	ahead.ApplySettings(5, newRouteSettings(1), "test")
	seed := runPeer(t, "ahead", 1, ahead, nil)
	runPeer(t, "behind", 2, newDirectory(), func(string) string { return refusing.Listener.Addr().String() }, seed)
	first := <-asked
	var last time.Time
	for range requests - 1 {
		last = <-asked
	}
	if took := last.Sub(first); took < leastTime {
		t.Errorf("%d requests came within %v", requests, took)
	}
}
