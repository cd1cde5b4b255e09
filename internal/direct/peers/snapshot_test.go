package peers_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/direct/peers"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// knownEndpoints is a list of endpoints that is known.
type knownEndpoints struct{}

func (knownEndpoints) HasEndpoints() bool { return true }

// informedHeartbeat returns the heartbeat of an informed peer.
func informedHeartbeat() map[int]any {
	return map[int]any{ownerField: 9, heartbeatField: map[int]any{1: "informed", 4: -1, 5: -1, 9: true, 10: "x", 12: true}}
}

// startSnapshotPeer starts a fake peer that serves snapshots and sends heartbeats.
func startSnapshotPeer(to *testPeer, snapshots http.Handler) {
	GinkgoHelper()
	s, listener := newFakePeerWithListener()
	server := &http.Server{Handler: snapshots}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	s.sendPeriodically(to, informedHeartbeat())
}

// newFakePeerWithListener returns a fake peer and a TCP listener at its address. A port that is
// free for UDP may be in use by a TCP connection of another process.
func newFakePeerWithListener() (*fakePeer, net.Listener) {
	GinkgoHelper()
	const tries = 50
	for range tries {
		s := newFakePeer()
		listener, err := net.Listen("tcp", s.socket.LocalAddr().String())
		if err == nil {
			return s, listener
		}
		Expect(err).To(MatchError(syscall.EADDRINUSE))
	}
	Fail("no port is free for both UDP and TCP")
	return nil, nil
}

var _ = Describe("a starting peer", func() {
	It("restores the snapshot of an informed peer", func() {
		a := startPeerIn("x", "a", "", 1)
		text := strings.Repeat("what is known ", 1000)
		startSnapshotPeer(a, peers.SnapshotHandler(func() ([]byte, error) { return []byte(text), nil }))
		var got []byte
		a.group.RestoreSnapshot(context.Background(), knownEndpoints{}, func(_ time.Time, data []byte) error {
			got = data
			return nil
		})
		Expect(string(got)).To(Equal(text))
	})

	It("tries another peer if a snapshot fails, and stops in time", func() {
		a := startPeerIn("x", "a", "", 1)
		startSnapshotPeer(a, peers.SnapshotHandler(func() ([]byte, error) { return nil, errors.New("not now") }))
		restored := false
		startedAt := time.Now()
		a.group.RestoreSnapshot(context.Background(), knownEndpoints{}, func(time.Time, []byte) error {
			restored = true
			return nil
		})
		Expect(restored).To(BeFalse())
		Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Second))
	})

	It("is refused by a peer that is sending another snapshot", func() {
		release, inProgress := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(peers.SnapshotHandler(func() ([]byte, error) {
			close(inProgress)
			<-release
			return []byte("known"), nil
		}))
		DeferCleanup(server.Close)
		first := make(chan int)
		go func() { first <- statusOf(server.URL) }()
		<-inProgress
		Expect(statusOf(server.URL)).To(Equal(http.StatusServiceUnavailable))
		close(release)
		Expect(<-first).To(Equal(http.StatusOK))
	})
})

// statusOf returns the status of a response, 0 for none.
func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
