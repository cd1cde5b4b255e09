package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/logs"
)

var log = logs.For("peers")

const (
	// heartbeatInterval is the time between two heartbeats. Chosen, not measured.
	heartbeatInterval = 250 * time.Millisecond
	// announceInterval is how often the group checks whether anything changed that other
	// entries are to know before the next heartbeat. Chosen, not measured.
	announceInterval = 25 * time.Millisecond
)

// Listener takes in what other entries say. It is not called with the group's lock
// held.
type Listener interface {
	// TakeEvents takes in events of another entry's attempts.
	TakeEvents(owner uint64, events []Event)
	// MemberGone is told that an incarnation of an entry has ended or is lost.
	MemberGone(owner uint64)
}

// Directory is what entries compare and pass on: settings and list of endpoints.
type Directory interface {
	Versions() (version, revision uint64)
	Confirmed() time.Time
	Confirm(version uint64, at time.Time)
	LastContact() time.Time
	Following() bool
	ReadsStore() bool
	SetRole(directory.Role)
	SettingsTold(version uint64)
}

// Options are what a group is made of.
type Options struct {
	Name      string
	Address   string // for datagrams and for TCP
	Owner     uint64 // incarnation of this process
	Seeds     []string
	Listener  Listener
	Directory Directory
	// ReadCost orders the entries that may read the store; see ReadCost.
	ReadCost int
	// Fetch reads a part of the state of the entry at an address.
	Fetch func(ctx context.Context, address string, p Part)
}

// Group is this entry's view of the other entries. Create it with New; Run ends it.
type Group struct {
	options Options
	address string // of the socket
	socket  *net.UDPConn

	standbySince time.Time // when this entry was last needed as a standby; of Run alone

	mu        sync.Mutex
	seeds     []string
	members   map[string]*member // by address
	events    []Event            // to be sent
	seededAt  time.Time          // when seeds were last tried
	fetching  [parts]bool
	announced announcement // of the last heartbeat

	eventsWaiting chan struct{} // events is not empty any more
	memberAhead   chan struct{} // a member has become ahead
}

// announcement is what other entries are to know before the next heartbeat if it
// changes.
type announcement struct {
	version, revision uint64
	storeLost         bool
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
		members:       map[string]*member{},
		eventsWaiting: make(chan struct{}, 1),
		memberAhead:   make(chan struct{}, 1),
	}, nil
}

// Address returns the address that the group listens on.
func (g *Group) Address() string { return g.address }

// Run sends and receives until ctx is done.
func (g *Group) Run(ctx context.Context) {
	go g.receive()
	defer func() { _ = g.socket.Close() }() // nothing is sent any more
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	checks := time.NewTicker(announceInterval)
	defer checks.Stop()
	flush := time.NewTimer(flushDelay)
	defer flush.Stop()
	g.sendHeartbeat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			g.beat(ctx, time.Now())
		case <-checks.C:
			g.announceChanges(time.Now())
		case <-g.memberAhead:
			time.AfterFunc(fetchDelay, func() { g.catchUp(ctx, time.Now()) })
		case <-g.eventsWaiting:
			flush.Reset(flushDelay)
		case <-flush.C:
			g.flush(time.Now())
		}
	}
}

// beat does what is due at each heartbeat.
func (g *Group) beat(ctx context.Context, now time.Time) {
	g.expire(now)
	g.sendHeartbeat(now)
	g.catchUp(ctx, now)
	g.options.Directory.SetRole(g.steadyRole(now, g.role(now)))
}
