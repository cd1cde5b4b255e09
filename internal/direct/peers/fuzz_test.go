package peers

import (
	"encoding/hex"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"

	"github.com/fxamacker/cbor/v2"
)

// discardListener discards all calls.
type discardListener struct{}

func (discardListener) HandleEvents(uint64, []Event) {}

func (discardListener) HandleLateEvents(uint64, []Event) {}
func (discardListener) MemberGone(uint64)                {}

// FuzzHandlePacket handles any datagram, as of a relay and as of a member, and continues to run
// the group. A datagram that crashed its receiver would spread from peer to peer. The seed
// corpus is testdata/packets.golden.
func FuzzHandlePacket(f *testing.F) {
	golden, err := os.ReadFile("testdata/packets.golden")
	if err != nil {
		f.Fatal(err)
	}
	for line := range strings.Lines(string(golden)) {
		_, text, _ := strings.Cut(strings.TrimSpace(line), ": ")
		data, err := hex.DecodeString(text)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 9}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p packet
		if cbor.Unmarshal(data, &p) != nil {
			return
		}
		d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
		g, err := New(Options{Name: "self", Address: "127.0.0.1:0", Owner: 1, DataCentre: "z", Listener: discardListener{}, Directory: d})
		if err != nil {
			return // no port is free
		}
		defer func() { _ = g.socket.Close() }() // the group was never run
		relay := heartbeat{Name: "relay", Relayed: true, DataCentre: "z", ConfirmedAgeMS: unknownAge, StoreResponseAgeMS: unknownAge}
		g.handlePacket(packet{Owner: 2, Heartbeat: &relay}, from)
		if g.isOtherOwner(p.Owner) {
			g.handlePacket(p, from)
		}
		now := time.Now().Add(heartbeatInterval)
		g.expireMembers(now)
		g.sendHeartbeat(now)
		g.sendReports(now)
		g.flush(now)
		g.roleByRank(now)
		g.Owners()
	})
}
