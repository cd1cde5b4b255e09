package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/foxcross/internal/relay/link"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

// helloTimeout bounds the time until a new connection sends its Hello.
const helloTimeout = 5 * time.Second

// owner is a connection from an entry, which owns the requests it sends.
type owner struct {
	id       uint64
	name     string
	session  link.Session
	outbox   chan message.Message
	contents bool // whether the entry supports message.Contents
}

// send queues a control message. It closes the connection of an owner whose queue is full.
func (o *owner) send(m message.Message) {
	select {
	case o.outbox <- m:
	default:
		log.Warnf("Entry %s does not read its control messages, connection closed.", o.name)
		o.session.Close()
	}
}

// serveOwner handles one connection until it is closed.
func (a *Agent) serveOwner(ctx context.Context, s link.Session) {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	hello, ok := receiveHello(s)
	if !ok {
		return
	}
	o := a.addOwner(s, hello)
	defer a.dropOwner(o)
	a.noteVersion(o, hello.Settings)
	go a.sendControl(o)
	go a.acceptStreams(ctx, o)
	for {
		m, err := s.Control().Receive()
		if err != nil {
			return
		}
		a.handleControl(o, m)
	}
}

// receiveHello waits up to helloTimeout for the first message, which must be a Hello.
func receiveHello(s link.Session) (message.Hello, bool) {
	timer := steady.AfterFunc(helloTimeout, s.Close)
	defer timer.Stop()
	m, err := s.Control().Receive()
	if err != nil {
		return message.Hello{}, false
	}
	h, ok := m.(message.Hello)
	return h, ok
}

func (a *Agent) addOwner(s link.Session, h message.Hello) *owner {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastOwner++
	o := &owner{id: a.lastOwner, name: h.Name, session: s, outbox: make(chan message.Message, outboxSize), contents: h.Contents}
	a.owners[o.id] = o
	o.send(message.Hello{Name: a.options.Name, DataCentre: a.options.DataCentre, Settings: a.settingsVersion(), Contents: true})
	o.send(a.loadReport())
	o.sendContents(a.contents.Snapshot(steady.Now(), 0))
	log.Infof("Entry %s connected.", h.Name)
	return o
}

func (a *Agent) dropOwner(o *owner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.owners, o.id)
	a.perform(a.core.OwnerLost(steady.Now(), o.id))
	log.Infof("Entry %s disconnected.", o.name)
}

// sendControl sends the queued control messages until the connection is closed.
func (a *Agent) sendControl(o *owner) {
	for {
		select {
		case <-o.session.Done():
			return
		case m := <-o.outbox:
			if err := o.session.Control().Send(m); err != nil {
				o.session.Close()
				return
			}
		}
	}
}

// handleControl handles one control message.
func (a *Agent) handleControl(o *owner, m message.Message) {
	now := steady.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m := m.(type) {
	case message.Offer:
		a.perform(a.core.Offer(now, o.id, m))
		a.wake()
	case message.Withdraw:
		a.perform(a.core.Withdraw(now, o.id, m))
	case message.Heartbeat:
		a.noteVersion(o, m.Settings)
	case message.Contents:
		a.applyContents(now, o, m)
	default:
		log.Warnf("Entry %s sent an unexpected message of type %T.", o.name, m)
	}
}

// noteVersion passes the settings version that an entry holds to the settings holder,
// which fetches it from the entry if it is newer.
func (a *Agent) noteVersion(o *owner, version uint64) {
	a.options.Versions.Announced(version, func(ctx context.Context, q message.SettingsRequest) (message.SettingsReply, error) {
		return link.FetchSettings(ctx, o.session, q)
	})
}

// acceptStreams accepts the streams that the entry opens.
func (a *Agent) acceptStreams(ctx context.Context, o *owner) {
	for {
		st, err := o.session.Accept(ctx)
		if err != nil {
			return
		}
		if err := a.pool.Do(func() { a.serveStream(o, st) }); err != nil {
			st.Reset()
		}
	}
}

// serveStream dispatches on the first message of a stream.
func (a *Agent) serveStream(o *owner, st link.Stream) {
	m, err := st.Receive()
	if err != nil {
		st.Reset()
		return
	}
	switch m := m.(type) {
	case message.Start:
		a.serveStart(o, st, m)
	case message.SettingsRequest:
		_ = st.Send(a.options.Versions.Reply(m)) // the peer repeats the request if the reply is lost
		_ = st.CloseSend()                       // the peer may have disconnected
	default:
		st.Reset()
	}
}

// serveStart runs an attempt and reads its stream until the owner has received the end. A
// cancel or a failed stream stops the attempt.
func (a *Agent) serveStart(o *owner, st link.Stream, m message.Start) {
	key := queue.Key{Owner: o.id, Request: m.Request}
	a.acceptStart(o, st, key, m)
	defer a.streamEnded()
	for {
		n, err := st.Receive()
		if errors.Is(err, io.EOF) {
			return
		}
		_, cancelled := n.(message.Cancel)
		if err != nil || cancelled {
			a.mu.Lock()
			a.perform(a.core.Cancel(steady.Now(), o.id, message.Cancel{Request: m.Request, Attempt: m.Attempt}))
			a.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

func (a *Agent) streamEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openStreams--
	workers.Signal(a.workDone)
}
