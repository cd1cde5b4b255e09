package entry

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/coord/subset"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"

	"github.com/cenkalti/backoff/v5"
)

const (
	// dialTimeout bounds a new connection to an agent. Chosen, not measured.
	dialTimeout = 3 * time.Second
	// firstRedial and maxRedial bound the time between two tries of an agent. Chosen,
	// not measured: an agent that restarts is back within a second and a half.
	firstRedial = 50 * time.Millisecond
	maxRedial   = time.Second
	// listTimeout bounds a read of the member list. Chosen, not measured.
	listTimeout = 2 * time.Second
	// keepAbsent is how long an agent that is missing from the list is kept without a
	// connection. Chosen, not measured: the list may be wrong for minutes.
	keepAbsent = time.Minute
)

// peer is an agent that the entry keeps a connection to.
type peer struct {
	name    string
	address string
	session link.Session // nil while not connected
	outbox  chan message.Message
	stop    context.CancelFunc
	absent  time.Time // since when the list lacks the agent
}

// send queues a control message. Entry.mu is held. An agent that does not read
// is cut off.
func (p *peer) send(m message.Message) {
	if p.session == nil {
		return
	}
	select {
	case p.outbox <- m:
	default:
		log.Warnf("Agent %s does not read, connection closed.", p.name)
		p.session.Close()
	}
}

// follow reads the member list again and again and keeps the connections to
// match it.
func (e *Entry) follow(ctx context.Context) {
	ticker := time.NewTicker(e.options.ListEvery)
	defer ticker.Stop()
	for {
		e.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) readList(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := e.options.Members.Members(wait)
	if err != nil {
		log.Debugf("The member list can't be read, keeping the old one: %v.", err)
		return
	}
	e.apply(ctx, time.Now(), members)
}

// apply takes a list. It may lag or be empty by mistake: an agent that is not
// on it is only dropped after a while without a connection.
func (e *Entry) apply(ctx context.Context, now time.Time, members []kv.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := map[string]bool{}
	wanted := e.wanted(members)
	entries := 0
	for _, m := range members {
		switch m.Role {
		case kv.Entry:
			if !m.Leaving {
				entries++
			}
		case kv.Agent:
			listed[m.Name] = true
			e.applyAgent(ctx, m, wanted[m.Name])
		}
	}
	e.entries = max(1, entries)
	e.watches = e.isWatcher(members)
	for _, p := range e.peers {
		e.applyAbsence(now, p, listed[p.name])
	}
}

// maxWatchers is how many entries of a data centre watch the settings' root. Chosen,
// not measured: the service counts each watch.
const maxWatchers = 3

// isWatcher tells whether this entry is among the watchers of its data centre.
// Entries that see different lists may come to different answers; then a few
// more or fewer watch.
func (e *Entry) isWatcher(members []kv.Member) bool {
	key := rendezvous.Hash(e.options.DataCentre)
	own := rendezvous.Rank(key, rendezvous.Hash(e.options.Name))
	before := 0
	for _, m := range members {
		if m.Role != kv.Entry || m.Leaving || m.DataCentre != e.options.DataCentre {
			continue
		}
		if rendezvous.Rank(key, rendezvous.Hash(m.Name)) < own {
			before++
		}
	}
	return before < maxWatchers
}

// wanted returns the agents of the entry's subset.
func (e *Entry) wanted(members []kv.Member) map[string]bool {
	var agents []subset.Agent
	for _, m := range members {
		if m.Role == kv.Agent && !m.Leaving {
			agents = append(agents, subset.Agent{Name: m.Name, DataCentre: m.DataCentre})
		}
	}
	wanted := map[string]bool{}
	for _, a := range subset.Choose(e.options.Name, e.options.DataCentre, agents, e.options.Agents) {
		wanted[a.Name] = true
	}
	return wanted
}

func (e *Entry) applyAgent(ctx context.Context, m kv.Member, wanted bool) {
	p := e.peers[m.Name]
	if p != nil && (p.address != m.Address || !wanted && !m.Leaving && !e.core.Uses(m.Name)) {
		e.dropPeer(p)
		p = nil
	}
	if p == nil && wanted {
		p = &peer{name: m.Name, address: m.Address}
		e.peers[m.Name] = p
		own, stop := context.WithCancel(ctx)
		p.stop = stop
		go e.keepPeer(own, p)
	}
	if p != nil && m.Leaving {
		e.core.PeerLeaving(m.Name)
	}
}

func (e *Entry) applyAbsence(now time.Time, p *peer, listed bool) {
	switch {
	case listed:
		p.absent = time.Time{}
	case p.absent.IsZero():
		p.absent = now
	case p.session == nil && now.Sub(p.absent) > keepAbsent:
		e.dropPeer(p)
	}
}

func (e *Entry) dropPeer(p *peer) {
	p.stop()
	delete(e.peers, p.name)
	if p.session != nil {
		p.session.Close()
		p.session = nil
		e.perform(e.core.PeerDown(time.Now(), p.name))
	}
}

// keepPeer connects again and again until the peer is dropped.
func (e *Entry) keepPeer(ctx context.Context, p *peer) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRedial
	wait.MaxInterval = maxRedial
	for ctx.Err() == nil {
		s, h, err := e.dial(ctx, p.address)
		if err == nil {
			wait.Reset()
			e.servePeer(ctx, p, s, h)
		} else {
			log.Debugf("Agent %s can't be reached: %v.", p.name, err)
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// dial connects and exchanges hellos.
func (e *Entry) dial(ctx context.Context, address string) (link.Session, message.Hello, error) {
	wait, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := e.options.Dialer.Dial(wait, address)
	if err != nil {
		return nil, message.Hello{}, err
	}
	stop := context.AfterFunc(wait, s.Close)
	defer stop()
	hello := message.Hello{
		Name:       e.options.Name,
		DataCentre: e.options.DataCentre,
		Settings:   e.options.Settings.Version(),
	}
	if err := s.Control().Send(hello); err != nil {
		s.Close()
		return nil, message.Hello{}, err
	}
	m, err := s.Control().Receive()
	h, ok := m.(message.Hello)
	if err == nil && !ok {
		err = errNoHello
	}
	if err != nil {
		s.Close()
		return nil, message.Hello{}, err
	}
	return s, h, nil
}

// servePeer handles one connection until it is gone.
func (e *Entry) servePeer(ctx context.Context, p *peer, s link.Session, h message.Hello) {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	if h.Name != p.name {
		log.Errorf("Agent %s answers at the address of %s.", h.Name, p.name)
		return
	}
	if !e.connected(p, s) {
		return
	}
	defer e.disconnected(p, s)
	e.announced(s, h.Settings)
	go sendControl(s, p.outbox)
	go e.acceptStreams(ctx, s)
	for {
		m, err := s.Control().Receive()
		if err != nil {
			return
		}
		e.control(p, s, m)
	}
}

func (e *Entry) connected(p *peer, s link.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers[p.name] != p {
		return false
	}
	p.session = s
	p.outbox = make(chan message.Message, outboxSize)
	e.perform(e.core.PeerUp(time.Now(), p.name, s.Trip()))
	log.Infof("Agent %s connected.", p.name)
	return true
}

func (e *Entry) disconnected(p *peer, s link.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.session != s {
		return
	}
	p.session = nil
	e.perform(e.core.PeerDown(time.Now(), p.name))
	e.wake()
	log.Infof("Agent %s is gone.", p.name)
}

// sendControl writes the outbox until the connection is gone.
func sendControl(s link.Session, outbox <-chan message.Message) {
	for {
		select {
		case <-s.Done():
			return
		case m := <-outbox:
			if err := s.Control().Send(m); err != nil {
				s.Close()
				return
			}
		}
	}
}

// control handles one control message.
func (e *Entry) control(p *peer, s link.Session, m message.Message) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.session != s {
		return
	}
	switch m := m.(type) {
	case message.Ready:
		e.perform(e.core.Ready(now, p.name, m))
	case message.Declined:
		e.perform(e.core.Declined(now, p.name, m))
	case message.Heartbeat:
		e.perform(e.core.Heartbeat(now, p.name, m))
		e.announced(s, m.Settings)
		e.remind(p, m.Settings)
	case message.Leaving:
		e.core.PeerLeaving(p.name)
	default:
		log.Warnf("Agent %s sent an unexpected %T.", p.name, m)
	}
	e.wake()
}

// acceptStreams answers an agent that asks for settings.
func (e *Entry) acceptStreams(ctx context.Context, s link.Session) {
	for {
		st, err := s.Accept(ctx)
		if err != nil {
			return
		}
		if err := e.pool.Do(func() { link.ServeSettings(st, e.options.Settings.Reply) }); err != nil {
			st.Reset()
		}
	}
}

// announced tells the settings which version an agent holds.
func (e *Entry) announced(s link.Session, version uint64) {
	e.options.Settings.Announced(version, func(ctx context.Context, q message.SettingsRequest) (message.SettingsReply, error) {
		return link.FetchSettings(ctx, s, q)
	})
}

// remind tells an agent that is behind which version is in force here. Its last
// fetch may have failed.
func (e *Entry) remind(p *peer, held uint64) {
	if own := e.options.Settings.Version(); held < own {
		p.send(message.Heartbeat{Settings: own})
	}
}

// announce tells every agent that a new version is in force here.
func (e *Entry) announce(v versions.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.send(message.Heartbeat{Settings: v.Root.Version})
	}
}
