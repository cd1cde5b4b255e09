package peers

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/logs"

	"github.com/fxamacker/cbor/v2"
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
	SetSentinel(sentinel bool)
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

	mu       sync.Mutex
	peers    map[string]*peer // by address
	notes    []Note
	leaving  bool
	seeded   time.Time
	fetching bool
	kick     chan struct{}
}

// peer is another entry.
type peer struct {
	owner uint64
	name  string
	to    *net.UDPAddr
	heard time.Time
	ahead time.Time // since when it knows something newer, zero for not
	asked time.Time // when the source last answered it, zero for never
	rank  uint64    // among those that may be sentinels
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
		kick:     make(chan struct{}, 1),
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

func (p *peer) alive(now time.Time) bool { return now.Sub(p.heard) < aliveFor }

// Tell sends a note to all live entries, a moment later together with others.
func (g *Group) Tell(n Note) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.notes) >= mostNotes {
		return // the others learn less of this entry's work
	}
	g.notes = append(g.notes, n)
	if len(g.notes) == 1 {
		select {
		case g.kick <- struct{}{}:
		default:
		}
	}
}

// Leave tells the others that this entry takes nothing new.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Run sends and receives until ctx is done.
func (g *Group) Run(ctx context.Context) {
	go g.receive()
	defer func() { _ = g.socket.Close() }()
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	g.sendHeartbeat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			now := time.Now()
			g.expire(now)
			g.sendHeartbeat(now)
			g.catchUp(ctx, now)
			g.book.SetSentinel(g.sentinel(now))
		case <-g.kick:
			g.delayFlush(ctx)
		}
	}
}

// delayFlush lets a few notes gather.
func (g *Group) delayFlush(ctx context.Context) {
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	notes := g.notes
	g.notes = nil
	to := g.targets(time.Now())
	g.mu.Unlock()
	g.sendNotes(notes, to)
}

// targets returns the addresses of the live entries. The group is locked.
func (g *Group) targets(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, p := range g.peers {
		if p.alive(now) {
			all = append(all, p.to)
		}
	}
	return all
}

func (g *Group) sendNotes(notes []Note, to []*net.UDPAddr) {
	if len(to) == 0 {
		return
	}
	p := g.packet()
	size := 0
	for _, n := range notes {
		data, err := cbor.Marshal(n)
		if err != nil {
			continue
		}
		if size+len(data) > mostPacket && len(p.Notes) > 0 {
			g.send(p, to)
			p.Notes = nil
			size = 0
		}
		p.Notes = append(p.Notes, n)
		size += len(data)
	}
	if len(p.Notes) > 0 {
		g.send(p, to)
	}
}

func (g *Group) packet() packet {
	version, revision := g.book.Versions()
	return packet{
		Owner:     g.owner,
		Name:      g.name,
		Version:   version,
		Revision:  revision,
		ConfirmMS: age(g.book.Confirmed()),
		SourceMS:  age(g.book.Contact()),
	}
}

// age returns the milliseconds since the time, -1 for never.
func age(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// since returns the time that an age stands for.
func since(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func (g *Group) send(p packet, to []*net.UDPAddr) {
	data, err := cbor.Marshal(p)
	if err != nil {
		log.Errorf("A packet can't be encoded: %v.", err)
		return
	}
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(data, a) // a lost datagram is as good as an unsent one
	}
}

func (g *Group) sendHeartbeat(now time.Time) {
	p := g.packet()
	g.mu.Lock()
	p.Leaving = g.leaving
	to := g.targets(now)
	for a, other := range g.peers {
		if other.alive(now) {
			p.Members = append(p.Members, a)
		}
	}
	if now.Sub(g.seeded) > seedEvery {
		g.seeded = now
		to = append(to, g.strangers(now)...)
	}
	g.mu.Unlock()
	g.send(p, to)
}

// strangers returns seeds and lost entries, to be tried now and then. The group
// is locked.
func (g *Group) strangers(now time.Time) []*net.UDPAddr {
	var all []*net.UDPAddr
	for _, s := range g.seeds {
		if g.peers[s] != nil || s == g.address {
			continue
		}
		if a, err := net.ResolveUDPAddr("udp4", s); err == nil {
			all = append(all, a)
		}
	}
	for _, p := range g.peers {
		if !p.alive(now) {
			all = append(all, p.to)
		}
	}
	return all
}

// expire forgets what lost entries had placed, and after long them as well.
func (g *Group) expire(now time.Time) {
	var lost []uint64
	g.mu.Lock()
	for a, p := range g.peers {
		if !p.alive(now) && p.owner != 0 {
			log.With("peer", p.name).Info("Another entry is not heard any more.")
			lost = append(lost, p.owner)
			p.owner = 0
		}
		if now.Sub(p.heard) > forgetAfter {
			delete(g.peers, a)
		}
	}
	g.mu.Unlock()
	for _, owner := range lost {
		g.listener.Lost(owner)
	}
}

const forgetAfter = time.Minute

func (g *Group) receive() {
	buffer := make([]byte, mostDatagram)
	for {
		n, from, err := g.socket.ReadFromUDP(buffer)
		if err != nil {
			return // closed
		}
		var p packet
		if err := cbor.Unmarshal(buffer[:n], &p); err != nil || p.Owner == 0 || p.Owner == g.owner {
			continue
		}
		g.take(p, from)
	}
}

// take learns from a packet.
func (g *Group) take(p packet, from *net.UDPAddr) {
	now := time.Now()
	version, revision := g.book.Versions()
	g.mu.Lock()
	other, lost := g.meet(p, from, now)
	if other == nil {
		g.mu.Unlock()
		return
	}
	if p.Version > version || p.Revision > revision {
		if other.ahead.IsZero() {
			other.ahead = now
		}
	} else {
		other.ahead = time.Time{}
	}
	for _, a := range p.Members {
		g.learn(a)
	}
	g.mu.Unlock()
	if lost != 0 {
		g.listener.Lost(lost)
	}
	if p.ConfirmMS >= 0 && p.Version == version {
		g.book.Confirm(version, since(now, p.ConfirmMS))
	}
	if len(p.Notes) > 0 {
		g.listener.Heard(p.Owner, p.Notes)
	}
}

// meet finds or adds the sender. It returns its earlier life if that has ended.
// The group is locked.
func (g *Group) meet(p packet, from *net.UDPAddr, now time.Time) (*peer, uint64) {
	key := from.String()
	other := g.peers[key]
	if other == nil {
		if len(g.peers) >= mostPeers {
			return nil, 0
		}
		other = &peer{to: from}
		g.peers[key] = other
	}
	lost := uint64(0)
	if other.owner != p.Owner {
		lost = other.owner
		other.owner = p.Owner
		other.name = p.Name
		other.rank = rankOf(p.Name)
		log.With("peer", p.Name).With("address", key).Info("Another entry is heard.")
	}
	other.heard = now
	other.asked = since(now, p.SourceMS)
	return other, lost
}

// rankOf orders the entries that may be sentinels, alike at all of them.
func rankOf(name string) uint64 {
	return rendezvous.Rank(rendezvous.Hash("sentinel"), rendezvous.Hash(name))
}

// sentinel tells whether this entry is to ask the source often: whether fewer
// than the wanted number of those ranked before it are answered by the source.
func (g *Group) sentinel(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := rankOf(g.name)
	before := 0
	for _, p := range g.peers {
		if p.alive(now) && p.rank < own && now.Sub(p.asked) < contactFor {
			before++
		}
	}
	return before < sentinels
}

// learn adds an entry that another one knows. The group is locked.
func (g *Group) learn(address string) {
	if address == g.address || g.peers[address] != nil || len(g.peers) >= mostPeers || slices.Contains(g.seeds, address) {
		return
	}
	g.seeds = append(g.seeds, address)
	if len(g.seeds) > mostPeers {
		g.seeds = g.seeds[1:]
	}
}

// catchUp asks an entry that has been ahead for a while.
func (g *Group) catchUp(ctx context.Context, now time.Time) {
	patience := fetchSoon
	if g.book.Following() {
		patience = fetchLate
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching {
		return
	}
	for a, p := range g.peers {
		if p.ahead.IsZero() || now.Sub(p.ahead) < patience || !p.alive(now) {
			continue
		}
		p.ahead = time.Time{}
		g.fetching = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			g.fetch(ctx, a)
			g.mu.Lock()
			defer g.mu.Unlock()
			g.fetching = false
		}()
		return
	}
}
