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

// listed is a list of endpoints that is known.
type listed struct{}

func (listed) Listed() bool { return true }

// informedHeartbeat is that of an entry that has heard of attempts for long.
func informedHeartbeat() map[int]any {
	return map[int]any{ownerField: 9, heartbeatField: map[int]any{1: "informed", 4: -1, 5: -1, 9: true, 10: "x", 12: true}}
}

// informed starts a stranger that serves snapshots and is taken for an entry.
func informed(to *entry, snapshots http.Handler) {
	GinkgoHelper()
	s, listener := strangerWithListener()
	server := &http.Server{Handler: snapshots}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	s.beat(to, informedHeartbeat())
}

// strangerWithListener returns a stranger and a listener for TCP at its address. A port that
// is free for UDP may be that of a connection of another process.
func strangerWithListener() (*stranger, net.Listener) {
	GinkgoHelper()
	const tries = 50
	for range tries {
		s := newStranger()
		listener, err := net.Listen("tcp", s.socket.LocalAddr().String())
		if err == nil {
			return s, listener
		}
		Expect(err).To(MatchError(syscall.EADDRINUSE))
	}
	Fail("no port is free for both UDP and TCP")
	return nil, nil
}

var _ = Describe("an entry that starts", func() {
	It("is handed a snapshot by another one that has heard of attempts for long", func() {
		a := joinIn("x", "a", "", 1)
		text := strings.Repeat("what is known ", 1000)
		informed(a, peers.SnapshotHandler(func() ([]byte, error) { return []byte(text), nil }))
		var got []byte
		a.group.Inform(context.Background(), listed{}, func(data []byte) error {
			got = data
			return nil
		})
		Expect(string(got)).To(Equal(text))
	})

	It("asks another one if the first can't, and gives up in time", func() {
		a := joinIn("x", "a", "", 1)
		informed(a, peers.SnapshotHandler(func() ([]byte, error) { return nil, errors.New("not now") }))
		restored := false
		began := time.Now()
		a.group.Inform(context.Background(), listed{}, func([]byte) error {
			restored = true
			return nil
		})
		Expect(restored).To(BeFalse())
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
	})

	It("is not handed one by an entry that makes another", func() {
		release, making := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(peers.SnapshotHandler(func() ([]byte, error) {
			close(making)
			<-release
			return []byte("known"), nil
		}))
		DeferCleanup(server.Close)
		first := make(chan int)
		go func() { first <- statusOf(server.URL) }()
		<-making
		Expect(statusOf(server.URL)).To(Equal(http.StatusServiceUnavailable))
		close(release)
		Expect(<-first).To(Equal(http.StatusOK))
	})
})

// statusOf returns the status of an answer, 0 for none.
func statusOf(url string) int {
	answer, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}
