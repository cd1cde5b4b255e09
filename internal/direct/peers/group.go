package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/coord/clock"
	"foxcross.dev/coord/duty"
	"foxcross.dev/coord/signals"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/uber-go/tally/v4"
)

var log = logs.For("peers")

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// announceInterval is how often the group checks for changes that are announced before the
	// next heartbeat.
	announceInterval = 25 * time.Millisecond
)

// Listener receives the events of other peers. Its methods are called without Group.mu held.
type Listener interface {
	// HandleEvents receives events about another peer's attempts.
	HandleEvents(owner uint64, events []Event)
	// HandleLateEvents receives events that waited while this process was stopped. When they
	// occurred is not known, and some of their attempts may have ended.
	HandleLateEvents(owner uint64, events []Event)
	// MemberGone is called when an incarnation of a peer has ended or is lost.
	MemberGone(owner uint64)
}

// Directory holds the data that peers compare and exchange: the settings and the list of
// endpoints. Its methods are called without Group.mu held.
type Directory interface {
	Versions() (version, revision uint64)
	Claims() directory.Claims
	Confirm(version uint64, at time.Time)
	Versioned() bool
	ConfirmEndpoints(revision uint64, at time.Time)
	LastStoreContact() time.Time
	StoreResponds() bool
	ReadsStore() bool
	SetRole(directory.Role)
	SettingsAnnounced(version uint64)
	Evacuations() driver.Evacuations
	ApplyEvacuations(e driver.Evacuations, source string)
}

// Options configure a group.
type Options struct {
	Name    string
	Address string // for datagrams and for TCP
	Owner   uint64 // incarnation of this process
	Seeds   []string
	Seed    bool // this process is a seed of the others
	// FirstStart reports whether the whole fleet starts for the first time.
	FirstStart bool
	Listener   Listener
	Directory  Directory
	// DataCentre is the data centre of this process. Events are sent once to each other data
	// centre.
	DataCentre string
	// ReadCost orders the peers that may read the store or act as relays; see ReadCost.
	ReadCost int
	// Metrics counts the datagrams sent to other peers; nil disables it.
	Metrics tally.Scope
	// HandleUsage receives another peer's statement of the requests that it counted; nil ignores
	// it.
	HandleUsage func(duty.Statement)
	// Fetch reads a part of the state of the peer at an address.
	Fetch func(ctx context.Context, address string, p Part)
}

// Group is this process's view of the other peers. Create it with New and start it with Run.
type Group struct {
	options          Options
	address          string // of the socket
	socket           *net.UDPConn
	startedAt        time.Time
	snapshotRestored atomic.Bool // a snapshot of another peer was restored
	traffic          *traffic

	lastStandby time.Time // when this process was last needed as a standby; used by Run only

	mu                 sync.Mutex
	seeds              []string
	members            map[string]*member       // by address
	events             []Event                  // waiting to be sent
	relayQueue         relayQueue               // sections of other peers, to be forwarded
	replayWindows      map[uint64]*replayWindow // of sections, by owner
	lastSection        uint64                   // number of the last section of this process
	plan               plan
	planStale          bool      // the members have changed since the plan was made
	staleUntil         time.Time // datagrams received before this time may have waited in the socket while this process was stopped
	resumedAt          time.Time // when this process last resumed after it was stopped
	core               []*member // with which this process exchanges keepalives; empty outside of the core
	seedsTriedAt       time.Time // when the seeds were last contacted
	standbyNeededSince time.Time // since when this process has been needed as a standby, zero if it is not
	fetching           [partCount]bool
	announced          announcement // content of the last heartbeat
	clock              clock.Estimator
	fence              uint64         // with which this process holds the duties, 0 if it does not
	reportedTo         []*net.UDPAddr // the relays of other data centres that the members were reported to
	signals            signals.Log    // of all peers and this process
	fetchingSignals    bool
	summary            signals.Summary // of signals, at summaryAt
	summaryAt          time.Time

	eventsPending chan struct{} // signals that events or the relay queue are no longer empty
	memberAhead   chan struct{} // signals that a member is now ahead
}

// announcement holds the values of which a change is announced before the next heartbeat.
type announcement struct {
	version, revision uint64
	storeLost         bool
	fence             uint64
	evacuated         string // data centres, joined
}

// New opens the socket.
func New(o Options) (*Group, error) {
	a, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: address %q: %w", o.Address, err)
	}
	socket, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, fmt.Errorf("peers: listen on %s: %w", o.Address, err)
	}
	return &Group{
		options:       o,
		address:       socket.LocalAddr().String(),
		seeds:         o.Seeds,
		socket:        socket,
		startedAt:     steady.Now(),
		traffic:       newTraffic(o.Metrics),
		members:       map[string]*member{},
		replayWindows: map[uint64]*replayWindow{},
		eventsPending: make(chan struct{}, 1),
		memberAhead:   make(chan struct{}, 1),
	}, nil
}

// Address returns the address that the group listens on.
func (g *Group) Address() string { return g.address }

// Run sends and receives until ctx is done.
func (g *Group) Run(ctx context.Context) {
	g.options.Directory.SetRole(g.currentRole(steady.Now()))
	go g.receive()
	defer func() { _ = g.socket.Close() }() // nothing is sent any more
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	checks := time.NewTicker(announceInterval)
	defer checks.Stop()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	flush := time.NewTimer(flushDelay)
	flush.Stop() // until events are pending
	defer flush.Stop()
	g.observeLocalClock(steady.Now())
	g.sendHeartbeat(steady.Now())
	checked := steady.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			g.tick(ctx, steady.Now())
		case <-checks.C:
			now := steady.Now()
			if g.handlePause(now.Sub(checked), now) {
				g.traffic.paused()
			}
			checked = now
			g.announceChanges(now)
			g.retrySeeds(now)
			if now.Sub(g.startedAt) < discoveryPeriod || g.inCore() {
				g.options.Directory.SetRole(g.currentRole(now))
			}
		case <-probes.C:
			g.probeRelays(steady.Now())
		case <-reports.C:
			g.sendReports(steady.Now())
		case <-g.memberAhead:
			g.catchUp(ctx, steady.Now())
			time.AfterFunc(fetchDelay, func() { g.catchUp(ctx, steady.Now()) })
		case <-g.eventsPending:
			flush.Reset(flushDelay)
		case <-flush.C:
			g.flush(steady.Now())
		}
	}
}

// tick does the work that is due at each heartbeat.
func (g *Group) tick(ctx context.Context, now time.Time) {
	g.expireMembers(now)
	g.observeLocalClock(now)
	g.sendHeartbeat(now)
	g.catchUp(ctx, now)
	g.catchUpSignals(ctx, now)
	g.options.Directory.SetRole(g.currentRole(now))
}
