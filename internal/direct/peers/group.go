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

// Listener takes in what other entries say.
type Listener interface {
	// Heard takes in the notes of another entry.
	Heard(owner uint64, notes []Note)
	// Lost is told that an entry is gone, or has started anew.
	Lost(owner uint64)
}

// Book is what entries compare and pass on.
type Book interface {
	Versions() (version, revision uint64)
	Confirmed() time.Time
	Confirm(version uint64, at time.Time)
	Contact() time.Time
	Following() bool
	Asking() bool
	SetRole(directory.Role)
}

// Options are what a group is made of.
type Options struct {
	Name     string
	Address  string // for datagrams and for TCP
	Owner    uint64 // of this life of the process
	Seeds    []string
	Listener Listener
	Book     Book
	// Fetch reads the settings and endpoints of a peer at the address.
	Fetch func(ctx context.Context, address string)
}

// Group is the entry's view of the other entries. Create it with New.
type Group struct {
	name     string
	address  string
	owner    uint64
	seeds    []string
	listener Listener
	book     Book
	fetch    func(ctx context.Context, address string)
	socket   *net.UDPConn

	substitute time.Time // when it was last to be a substitute; of Run alone

	mu       sync.Mutex
	peers    map[string]*peer // by address
	notes    []Note
	leaving  bool
	seeded   time.Time
	fetching bool
	told     told // what the last heartbeat said

	noted chan struct{} // there are notes to send
	news  chan struct{} // a peer has become ahead
}

// told is what others are to hear of without waiting for a heartbeat.
type told struct {
	version, revision uint64
	lost              bool
}

// New opens the socket.
func New(o Options) (*Group, error) {
	a, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	socket, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Group{
		name:     o.Name,
		address:  socket.LocalAddr().String(),
		owner:    o.Owner,
		seeds:    o.Seeds,
		listener: o.Listener,
		book:     o.Book,
		fetch:    o.Fetch,
		socket:   socket,
		peers:    map[string]*peer{},
		noted:    make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
	}, nil
}

// Address returns the address that the group listens on.
func (g *Group) Address() string { return g.address }

// Live returns the number of live entries, this one included.
func (g *Group) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	now := time.Now()
	for _, p := range g.peers {
		if p.alive(now) {
			n++
		}
	}
	return n
}

// Leave tells the others that this entry takes nothing new.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// changesEvery is how often it is looked whether there is something that the
// others are to hear of at once.
const changesEvery = 25 * time.Millisecond

// Run sends and receives until ctx is done.
func (g *Group) Run(ctx context.Context) {
	go g.receive()
	defer func() { _ = g.socket.Close() }() // nothing is sent any more
	heartbeats := time.NewTicker(heartbeatEvery)
	defer heartbeats.Stop()
	changes := time.NewTicker(changesEvery)
	defer changes.Stop()
	flush := time.NewTimer(flushAfter)
	defer flush.Stop()
	g.sendHeartbeat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			g.beat(ctx, time.Now())
		case <-changes.C:
			g.tellChanges(time.Now())
		case <-g.news:
			time.AfterFunc(fetchSoon, func() { g.catchUp(ctx, time.Now()) })
		case <-g.noted:
			flush.Reset(flushAfter)
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
	g.book.SetRole(g.steady(now, g.role(now)))
}
