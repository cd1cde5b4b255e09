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

// TestUsageInParts cuts the counts of many teams into datagrams and puts them together.
func TestUsageInParts(t *testing.T) {
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
	parts := usageParts(s)
	for _, part := range parts {
		data, err := cbor.Marshal(packet{Owner: 7, Usage: &part})
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 1472 { // what one Ethernet frame takes
			t.Errorf("a part takes %d bytes", len(data))
		}
		var p packet
		if err := cbor.Unmarshal(data, &p); err != nil {
			t.Fatal(err)
		}
		read := p.Usage.statement(p.Owner)
		if read.Owner != 7 || !read.Through.Equal(through) {
			t.Errorf("read %v through %v", read.Owner, read.Through)
		}
		for _, w := range read.Windows {
			if w.Total != want[w.Window].Total() {
				t.Errorf("a part of window %v names a total of %d", w.Window, w.Total)
			}
			got[w.Window] = got[w.Window].Plus(w.Counts)
		}
	}
	for w := range want {
		if !maps.Equal(got[w], want[w]) {
			t.Errorf("window %v came as %v", w, got[w])
		}
	}
	if len(parts) < 2 {
		t.Error("all went into one datagram")
	}
	if empty := usageParts(duty.Statement{Through: through}); len(empty) != 1 {
		t.Errorf("nothing counted is told in %d parts", len(empty))
	}
}

// TestUsageGoesToWhoMayHold lets an entry tell the holder and the readers only.
func TestUsageGoesToWhoMayHold(t *testing.T) {
	now := time.Now()
	g := &Group{members: map[string]*member{}}
	for address, h := range map[string]heartbeat{
		"10.0.0.1:1": {Name: "reader", Reading: true},
		"10.0.0.2:1": {Name: "former holder", Fence: 4},
		"10.0.0.3:1": {Name: "holder", Fence: 9, Reading: true},
		"10.0.0.4:1": {Name: "follower"},
		"10.0.0.5:1": {Name: "dead reader", Reading: true},
	} {
		heard := now
		if h.Name == "dead reader" {
			heard = now.Add(-aliveFor)
		}
		g.members[address] = &member{name: h.Name, address: mustAddress(t, address), heartbeat: h, lastHeard: heard, owner: 1}
	}
	to := map[string]bool{}
	for _, a := range g.usageAddresses(now) {
		to[a.String()] = true
	}
	if want := map[string]bool{"10.0.0.1:1": true, "10.0.0.3:1": true}; !maps.Equal(to, want) {
		t.Errorf("told %v, want %v", to, want)
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
