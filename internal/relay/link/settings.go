package link

import (
	"context"
	"fmt"

	"foxcross.dev/coord/message"
)

// FetchSettings asks the peer for a settings version on a stream of its own.
func FetchSettings(ctx context.Context, s Session, q message.SettingsRequest) (message.SettingsReply, error) {
	st, err := s.Open(ctx)
	if err != nil {
		return message.SettingsReply{}, err
	}
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	defer st.Reset()
	if err := st.Send(q); err != nil {
		return message.SettingsReply{}, err
	}
	m, err := st.Receive()
	if err != nil {
		return message.SettingsReply{}, fmt.Errorf("link: settings reply: %w", err)
	}
	reply, ok := m.(message.SettingsReply)
	if !ok {
		return message.SettingsReply{}, fmt.Errorf("link: settings reply is a %T", m)
	}
	return reply, nil
}

// ServeSettings answers the request that a peer sends on a stream of its own.
func ServeSettings(st Stream, reply func(message.SettingsRequest) message.SettingsReply) {
	m, err := st.Receive()
	q, ok := m.(message.SettingsRequest)
	if err != nil || !ok {
		st.Reset()
		return
	}
	_ = st.Send(reply(q)) // a lost reply is asked for again
	_ = st.CloseSend()    // the peer may be gone
}
