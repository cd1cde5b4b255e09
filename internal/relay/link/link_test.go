package link_test

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/keys"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/testing/golden"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var samples = []message.Message{
	message.Hello{Name: "entry-1", DataCentre: "gent", Settings: 7},
	message.Offer{Request: 9, Attempt: 1, Target: "glaze-8b", Age: time.Millisecond, PromptTokens: 100, Prefix: []uint64{1, 2},
		Terms: message.Terms{Class: "glaze-question", Team: "gent", FirstToken: 500 * time.Millisecond, BetweenTokens: 30 * time.Millisecond, Weight: 3, Repeatable: true}},
	message.Ready{Request: 9, Attempt: 1, Hold: 250 * time.Millisecond},
	message.Declined{Request: 9, Attempt: 1, Code: result.AgentFull},
	message.Withdraw{Request: 9, Attempt: 1},
	message.Start{Request: 9, Attempt: 1, Body: []byte("{}"), SentText: "so far", SentTokens: 2},
	message.Head{Request: 9, Attempt: 1, Status: 200, Header: []message.Field{{Name: "A", Value: "b"}}},
	message.Chunk{Request: 9, Attempt: 1, Tokens: 1, Text: "word "},
	message.End{Request: 9, Attempt: 1, Code: result.OK, Run: result.Ran, FinishReason: "stop"},
	message.Cancel{Request: 9, Attempt: 1},
	message.Heartbeat{Settings: 7, Loads: []message.Load{{Target: "glaze-8b", Slots: 8, Free: 3, SlotInterval: time.Millisecond}}},
	message.Leaving{},
	message.SettingsRequest{Version: 7, Have: []string{"ab"}},
	message.SettingsReply{Root: []byte("{}")},
}

var _ = Describe("Encode", func() {
	It("matches the recorded frames of earlier versions", func() {
		var lines []string
		for _, m := range samples {
			data, err := link.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			lines = append(lines, fmt.Sprintf("%T %s", m, hex.EncodeToString(data)))
		}
		got := strings.Join(lines, "\n") + "\n"
		golden.Compare(GinkgoT(), "frames.golden", got)
	})

	It("keeps an offer small", func() {
		data, err := link.Encode(samples[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 128))
	})
})

// tlsFor returns TLS settings with a certificate signed by an authority.
func tlsFor(a *keys.Authority) *tls.Config {
	p, err := a.Issue("p", time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	c, err := keys.Config(a.Certificate(), p)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func authority() *keys.Authority {
	a, err := keys.NewAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	return a
}

var _ = Describe("QUIC", func() {
	var ctx context.Context

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
	})

	listen := func(a *keys.Authority) *link.QUICListener {
		l, err := link.ListenQUIC("127.0.0.1:0", tlsFor(a))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		return l
	}

	dial := func(a *keys.Authority, address string) (link.Session, error) {
		d, err := link.NewQUICDialer(tlsFor(a))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		return d.Dial(ctx, address)
	}

	It("transports every message unchanged and in order", func() {
		a := authority()
		l := listen(a)
		client, err := dial(a, l.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Control().Send(samples[0])).To(Succeed())
		server, err := l.Accept(ctx)
		Expect(err).NotTo(HaveOccurred())
		for n, m := range samples {
			if n > 0 {
				Expect(client.Control().Send(m)).To(Succeed())
			}
			Expect(server.Control().Receive()).To(Equal(m))
		}
	})

	It("transports a body of eight megabytes on a separate stream", func() {
		a := authority()
		l := listen(a)
		client, err := dial(a, l.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Control().Send(samples[0])).To(Succeed())
		server, err := l.Accept(ctx)
		Expect(err).NotTo(HaveOccurred())
		st, err := client.Open(ctx)
		Expect(err).NotTo(HaveOccurred())
		large := message.Start{Request: 1, Attempt: 1, Body: make([]byte, 8<<20)}
		go func() {
			defer GinkgoRecover()
			Expect(st.Send(large)).To(Succeed())
		}()
		other, err := server.Accept(ctx)
		Expect(err).NotTo(HaveOccurred())
		m, err := other.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(m.(message.Start).Body).To(HaveLen(8 << 20))
	})

	It("refuses a certificate signed by another authority", func() {
		l := listen(authority())
		s, err := dial(authority(), l.Address())
		if err != nil {
			return // refused in the handshake
		}
		Eventually(s.Done(), "10s").Should(BeClosed())
	})
})
