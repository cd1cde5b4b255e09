package link

import (
	"context"
	"fmt"

	"foxcross.dev/coord/message"
)

// FetchSettings requests a settings version from the peer on a separate stream.
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

// ServeSettings replies to the settings request that a peer sends on a separate stream.
func ServeSettings(st Stream, reply func(message.SettingsRequest) message.SettingsReply) {
	m, err := st.Receive()
	q, ok := m.(message.SettingsRequest)
	if err != nil || !ok {
		st.Reset()
		return
	}
	_ = st.Send(reply(q)) // the peer repeats the request if the reply is lost
	_ = st.CloseSend()    // the peer may have disconnected
}
