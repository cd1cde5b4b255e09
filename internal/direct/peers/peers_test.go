package peers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/loopback"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "peers")
}

// testPeer is one peer of a group.
type testPeer struct {
	group     *peers.Group
	directory *directory.Directory
	guarded   guardedDirectory // the directory as the group sees it
	end       context.CancelFunc

	mu     sync.Mutex
	events []peers.Event
	lost   []uint64
}

func (e *testPeer) HandleEvents(_ uint64, events []peers.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, events...)
}

func (e *testPeer) HandleLateEvents(uint64, []peers.Event) {}

func (e *testPeer) MemberGone(owner uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = append(e.lost, owner)
}

func (e *testPeer) receivedEvents() []peers.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]peers.Event(nil), e.events...)
}

func (e *testPeer) goneOwners() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.lost...)
}

// startPeer starts a peer; an empty address uses a free port.
func startPeer(name, address string, owner uint64, seeds ...string) *testPeer {
	GinkgoHelper()
	return startPeerIn("", name, address, owner, seeds...)
}

// startPeerIn is startPeer in a data centre.
func startPeerIn(dataCentre, name, address string, owner uint64, seeds ...string) *testPeer {
	GinkgoHelper()
	e := &testPeer{}
	e.directory = directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	e.guarded.Directory = e.directory
	if address == "" {
		address = freeAddress()
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	e.group, err = peers.New(peers.Options{
		Name: name, DataCentre: dataCentre, Address: address, Owner: owner, Seeds: seeds, Listener: e, Directory: &e.guarded,
		Fetch: func(ctx context.Context, from string, p peers.Part) {
			_ = peers.FetchState(ctx, e.directory, from, p)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	e.guarded.group.Store(e.group)
	mux := http.NewServeMux()
	mux.Handle("/", peers.StateHandler(e.directory))
	mux.Handle(peers.SignalsPath, e.group.SignalsHandler())
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.group.Run(ctx)
	}()
	e.end = func() {
		cancel()
		<-stopped
		_ = server.Close()
	}
	DeferCleanup(e.end)
	return e
}

// freeAddress returns an address of this process whose port is free for TCP and UDP. At 127.0.0.1 the outgoing
// connections of other processes take ports, also of a peer that is to restart.
func freeAddress() string {
	for {
		address, err := loopback.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		p, err := net.ListenPacket("udp", address)
		if err == nil {
			_ = p.Close()
			return address
		}
	}
}

var _ = Describe("a group of peers", func() {
	It("discovers all peers through one seed and sends events to all", func() {
		a := startPeer("a", "", 1)
		b := startPeer("b", "", 2, a.group.Address())
		c := startPeer("c", "", 3, a.group.Address())
		for _, e := range []*testPeer{a, b, c} {
			Eventually(e.group.Live).Should(Equal(3))
		}
		request := &placement.Request{Service: "pool", Prompt: memory.Prompt{Tokens: 9}}
		b.group.Broadcast(peers.Event{Kind: peers.AttemptSent, Number: 7, Endpoint: "i-1", Request: request})
		for _, e := range []*testPeer{a, c} {
			Eventually(e.receivedEvents).Should(HaveExactElements(And(
				HaveField("Kind", peers.AttemptSent), HaveField("Number", uint64(7)),
				HaveField("Endpoint", "i-1"), HaveField("Request", request),
			)))
		}
		Expect(b.receivedEvents()).To(BeEmpty())
	})

	It("sends only settings newer than the client's", func() {
		a := startPeer("a", "", 1)
		a.directory.ApplySettings(5, settings.NewTree(map[string]settings.Node{"": {}, "routes": {}}), "test")
		a.directory.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1", Service: "pool"}}}, "test")
		size := func(version string) int {
			response, err := http.Get("http://" + a.group.Address() + "/state?version=" + version)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			return len(body)
		}
		Expect(size("5")).To(BeNumerically("<", size("4")))
	})

	It("sends the changes of a long list instead of the list", func() {
		a := startPeer("a", "", 1)
		b := startPeer("b", "", 2, a.group.Address())
		var list []placement.Endpoint
		for n := range 500 {
			list = append(list, placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool"})
		}
		a.directory.ApplySettings(5, settings.NewTree(map[string]settings.Node{"": {}, "routes": {}}), "test")
		a.directory.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: list}, "test")
		Eventually(b.directory.Ready).Should(BeTrue())
		a.directory.Apply(driver.Change{Revision: 11, Gone: []string{"i-7"}, Changed: []placement.Endpoint{{ID: "i-8", Leaving: true}}})
		Eventually(func() uint64 { _, r := b.directory.Versions(); return r }).Should(BeEquivalentTo(11))
		Expect(b.directory.Endpoints()).To(Equal(a.directory.Endpoints()))
		response, err := http.Get("http://" + a.group.Address() + "/state?version=5&revision=9")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 300))
	})

	It("sends the age of an event", func() {
		a := startPeer("a", "", 1)
		b := startPeer("b", "", 2, a.group.Address())
		Eventually(a.group.Live).Should(Equal(2))
		Eventually(b.group.Live).Should(Equal(2))
		b.group.Broadcast(peers.Event{Kind: peers.FirstEvent, Number: 7})
		Eventually(a.receivedEvents).Should(HaveLen(1))
		Expect(a.receivedEvents()[0].AgeMS).To(BeNumerically(">=", 9), "the event waited for flushDelay")
		b.group.Broadcast(peers.Event{Kind: peers.AttemptEnded, Number: 7})
		b.group.Broadcast(peers.Event{Kind: peers.AttemptSent, Number: 8})
		Eventually(a.receivedEvents).Should(HaveLen(3))
		Expect(a.receivedEvents()[1].AgeMS).To(BeNumerically("<", 1000))
	})

	It("detects that a peer is gone and that it restarted", func() {
		a := startPeer("a", "", 1)
		b := startPeer("b", "", 2, a.group.Address())
		address := b.group.Address()
		Eventually(a.group.Live).Should(Equal(2))
		b.end()
		startPeer("b", address, 22, a.group.Address())
		Eventually(a.goneOwners).Should(ContainElement(uint64(2)))
		Eventually(a.group.Live).Should(Equal(2))
	})

	It("sends the newest settings and endpoints to a peer that can't read the store", func() {
		a := startPeer("a", "", 1)
		b := startPeer("b", "", 2, a.group.Address())
		a.directory.ApplySettings(5, settings.NewTree(map[string]settings.Node{"": {}, "routes": {}}), "test")
		a.directory.ReplaceEndpoints(driver.Endpoints{Revision: 9, List: []placement.Endpoint{{ID: "i-1", Service: "pool"}}}, "test")
		Eventually(b.directory.Ready).Should(BeTrue())
		version, revision := b.directory.Versions()
		Expect(version).To(BeEquivalentTo(5))
		Expect(revision).To(BeEquivalentTo(9))
	})
})
