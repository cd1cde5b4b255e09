package entry

import (
	"context"

	"foxcross.dev/coord/message"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/relay/versions"
)

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
func (e *Entry) remind(p *agent, held uint64) {
	if own := e.options.Settings.Version(); held < own {
		p.send(message.Heartbeat{Settings: own})
	}
}

// announce tells every agent that a new version is in force here.
func (e *Entry) announce(v versions.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.agents {
		p.send(message.Heartbeat{Settings: v.Root.Version})
	}
}
