package entry

import (
	"context"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/cenkalti/backoff/v5"
)

const (
	// dialTimeout bounds setting up a connection to an agent.
	dialTimeout = 3 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay between connection attempts to an agent. An
	// agent that restarts is reachable again within 1.5 seconds.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// absentTimeout is how long an unconnected agent is kept after it is missing from the member
	// list. The list may be wrong for minutes.
	absentTimeout = time.Minute
)

// agentConn is an agent that the entry maintains a connection to.
type agentConn struct {
	name    string
	address string
	session link.Session // nil while not connected
	outbox  chan message.Message
	stop    context.CancelFunc
	absent  time.Time // when it was first missing from the member list, zero while listed

	contents bool // whether the agent supports message.Contents
}

// send queues a control message. It closes the connection of an agent whose queue is
// full. Entry.mu must be held.
func (c *agentConn) send(m message.Message) {
	if c.session == nil {
		return
	}
	select {
	case c.outbox <- m:
	default:
		log.Warnf("Agent %s does not read its control messages, connection closed.", c.name)
		c.session.Close()
	}
}

// applyListed applies the member list's record of one agent. It connects to a wanted agent,
// and drops one whose address changed or that is not wanted, not leaving and not in use.
func (e *Entry) applyListed(ctx context.Context, m kv.Member, wanted bool) {
	c := e.agents[m.Name]
	if c != nil && (c.address != m.Address || !wanted && !m.Leaving && !e.core.Uses(m.Name)) {
		e.dropAgent(c)
		c = nil
	}
	if c == nil && wanted {
		c = &agentConn{name: m.Name, address: m.Address}
		e.agents[m.Name] = c
		connCtx, stop := context.WithCancel(ctx)
		c.stop = stop
		go e.keepAgent(connCtx, c)
	}
	if c != nil && m.Leaving {
		e.core.AgentLeaving(m.Name)
	}
}

// applyUnlisted drops an unconnected agent that has been missing from the list for longer
// than absentTimeout.
func (e *Entry) applyUnlisted(now time.Time, c *agentConn, listed bool) {
	switch {
	case listed:
		c.absent = time.Time{}
	case c.absent.IsZero():
		c.absent = now
	case c.session == nil && now.Sub(c.absent) > absentTimeout:
		e.dropAgent(c)
	}
}

// dropAgent removes an agent and closes its connection. Entry.mu must be held.
func (e *Entry) dropAgent(c *agentConn) {
	c.stop()
	delete(e.agents, c.name)
	if c.session != nil {
		c.session.Close()
		c.session = nil
		e.perform(e.core.AgentDown(steady.Now(), c.name))
	}
}

// keepAgent maintains a connection to an agent until the agent is dropped.
func (e *Entry) keepAgent(ctx context.Context, c *agentConn) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minRedialDelay
	delay.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		s, h, err := e.dial(ctx, c.address)
		if err == nil {
			delay.Reset()
			e.serveAgent(ctx, c, s, h)
		} else {
			log.Debugf("Can't connect to agent %s: %v.", c.name, err)
		}
		workers.Sleep(ctx, delay.NextBackOff())
	}
}

// dial connects to an agent and exchanges Hello messages.
func (e *Entry) dial(ctx context.Context, address string) (link.Session, message.Hello, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := e.options.Dialer.Dial(dialCtx, address)
	if err != nil {
		return nil, message.Hello{}, err
	}
	stop := context.AfterFunc(dialCtx, s.Close)
	defer stop()
	hello := message.Hello{
		Name:       e.options.Name,
		DataCentre: e.options.DataCentre,
		Settings:   e.options.Settings.Version(),
		Contents:   true,
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

// serveAgent handles one connection until it is closed.
func (e *Entry) serveAgent(ctx context.Context, c *agentConn, s link.Session, h message.Hello) {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	if h.Name != c.name {
		log.Errorf("Agent %s responded at the address of agent %s.", h.Name, c.name)
		return
	}
	if !e.connected(c, s, h) {
		return
	}
	defer e.disconnected(c, s)
	e.noteVersion(s, h.Settings)
	go sendControl(s, c.outbox)
	go e.acceptStreams(ctx, s)
	for {
		m, err := s.Control().Receive()
		if err != nil {
			return
		}
		e.handleControl(c, s, m)
	}
}

// connected registers a new connection. It returns false if the agent was dropped while
// the connection was set up.
func (e *Entry) connected(c *agentConn, s link.Session, h message.Hello) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[c.name] != c {
		return false
	}
	c.session = s
	c.contents = h.Contents
	c.outbox = make(chan message.Message, outboxSize)
	e.perform(e.core.AgentUp(steady.Now(), c.name, s.RTT()))
	log.Infof("Agent %s connected.", c.name)
	return true
}

// disconnected unregisters a closed connection.
func (e *Entry) disconnected(c *agentConn, s link.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.session != s {
		return
	}
	c.session = nil
	e.perform(e.core.AgentDown(steady.Now(), c.name))
	e.wake()
	log.Infof("Agent %s disconnected.", c.name)
}

// sendControl sends the queued control messages until the connection is closed.
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

// handleControl handles one control message.
func (e *Entry) handleControl(c *agentConn, s link.Session, m message.Message) {
	now := steady.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.session != s {
		return
	}
	switch m := m.(type) {
	case message.Ready:
		e.perform(e.core.Ready(now, c.name, m))
	case message.Declined:
		e.perform(e.core.Declined(now, c.name, m))
	case message.Heartbeat:
		e.perform(e.core.Heartbeat(now, c.name, m))
		e.noteVersion(s, m.Settings)
		e.announceIfBehind(c, m.Settings)
	case message.Leaving:
		e.core.AgentLeaving(c.name)
	case message.Contents:
		e.applyContents(now, c.name, m.Known)
	default:
		log.Warnf("Agent %s sent an unexpected message of type %T.", c.name, m)
	}
	e.wake()
}
