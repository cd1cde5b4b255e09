package entry

import (
	"context"

	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
)

// acceptStreams serves the settings requests of an agent.
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

// noteVersion passes the settings version that an agent holds to the settings holder,
// which fetches it from the agent if it is newer.
func (e *Entry) noteVersion(s link.Session, version uint64) {
	e.options.Settings.Announced(version, func(ctx context.Context, q message.SettingsRequest) (message.SettingsReply, error) {
		return link.FetchSettings(ctx, s, q)
	})
}

// announceIfBehind sends the number of the active version to an agent that holds an older one.
// The agent's last fetch may have failed.
func (e *Entry) announceIfBehind(c *agentConn, held uint64) {
	if own := e.options.Settings.Version(); held < own {
		c.send(message.Heartbeat{Settings: own})
	}
}

// broadcastVersion sends the number of a new active version to all agents.
func (e *Entry) broadcastVersion(v versions.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.agents {
		c.send(message.Heartbeat{Settings: v.Root.Version})
	}
}
