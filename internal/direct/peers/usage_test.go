package peers

import (
	"fmt"
	"maps"
	"net"
	"testing"
	"time"

	"foxcross.dev/coord/duty"

	"github.com/fxamacker/cbor/v2"
)

// TestSplitUsage splits the counts of many teams into datagrams and merges them again.
func TestSplitUsage(t *testing.T) {
	through := time.UnixMilli(1_700_000_000_123)
	s := duty.Statement{Owner: 7, Through: through}
	want := map[duty.Window]duty.Counts{}
	for w := range duty.Window(3) {
		c := duty.Counts{}
		for n := range 200 {
			c[fmt.Sprintf("team-%03d", n)] = int64(n) * 1000
		}
		want[w] = c
		s.Windows = append(s.Windows, duty.WindowCounts{Window: w, Total: c.Total(), Counts: c})
	}
	got := map[duty.Window]duty.Counts{}
	parts := splitUsage(s)
	for _, part := range parts {
		data, err := cbor.Marshal(packet{Owner: 7, Usage: &part})
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 1472 { // the UDP payload of one Ethernet frame
			t.Errorf("a part takes %d bytes", len(data))
		}
		var p packet
		if err := cbor.Unmarshal(data, &p); err != nil {
			t.Fatal(err)
		}
		read := p.Usage.statement(p.Owner)
		if read.Owner != 7 || !read.Through.Equal(through) {
			t.Errorf("decoded owner %v, through %v", read.Owner, read.Through)
		}
		for _, w := range read.Windows {
			if w.Total != want[w.Window].Total() {
				t.Errorf("a part of window %v has a total of %d", w.Window, w.Total)
			}
			got[w.Window] = got[w.Window].Plus(w.Counts)
		}
	}
	for w := range want {
		if !maps.Equal(got[w], want[w]) {
			t.Errorf("window %v: got %v", w, got[w])
		}
	}
	if len(parts) < 2 {
		t.Error("all counts are in one datagram")
	}
	if empty := splitUsage(duty.Statement{Through: through}); len(empty) != 1 {
		t.Errorf("a statement without counts has %d parts", len(empty))
	}
}

// TestUsageRecipients checks that only the holder and the readers receive counts.
func TestUsageRecipients(t *testing.T) {
	now := time.Now()
	g := &Group{members: map[string]*member{}}
	for address, h := range map[string]heartbeat{
		"10.0.0.1:1": {Name: "reader", Reading: true},
		"10.0.0.2:1": {Name: "former holder", Fence: 4},
		"10.0.0.3:1": {Name: "holder", Fence: 9, Reading: true},
		"10.0.0.4:1": {Name: "follower"},
		"10.0.0.5:1": {Name: "dead reader", Reading: true},
	} {
		seenAt := now
		if h.Name == "dead reader" {
			seenAt = now.Add(-memberTimeout)
		}
		g.members[address] = &member{name: h.Name, address: mustAddress(t, address), heartbeat: h, lastSeen: seenAt, owner: 1}
	}
	to := map[string]bool{}
	for _, a := range g.usageRecipients(now) {
		to[a.String()] = true
	}
	if want := map[string]bool{"10.0.0.1:1": true, "10.0.0.3:1": true}; !maps.Equal(to, want) {
		t.Errorf("recipients %v, want %v", to, want)
	}
	if fence, other := g.Holder(); fence != 9 || !other {
		t.Errorf("the holder has fence %d, another: %v", fence, other)
	}
	g.SetFence(10)
	if fence, other := g.Holder(); fence != 10 || other {
		t.Errorf("the holder has fence %d, another: %v", fence, other)
	}
}

func mustAddress(t *testing.T, address string) *net.UDPAddr {
	t.Helper()
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
