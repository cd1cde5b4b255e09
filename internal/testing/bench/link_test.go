package bench_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/relay/keys"
	"foxcross.dev/foxcross/internal/relay/link"
	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/deployment"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/settings"
)

// BenchmarkEncode is the cost of a frame.
func BenchmarkEncode(b *testing.B) {
	for name, m := range map[string]message.Message{
		"offer":     message.Offer{Request: 1, Attempt: 1, Target: target, Terms: terms, Prefix: []uint64{1, 2, 3, 4}},
		"chunk":     message.Chunk{Request: 1, Attempt: 1, Text: " word", Tokens: 1},
		"heartbeat": message.Heartbeat{Settings: 1, Loads: []message.Load{{Target: target, Slots: 64, Free: 3, SlotInterval: time.Millisecond}}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := link.Encode(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// pairs returns both ends of QUIC connections between one dialer and one
// listener on loopback.
func pairs(b *testing.B, count int) (near, far []link.Session) {
	b.Helper()
	a, err := keys.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	p, err := a.Issue("p", time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	tls, err := keys.Config(a.Certificate(), p)
	if err != nil {
		b.Fatal(err)
	}
	l, err := link.ListenQUIC("127.0.0.1:0", tls)
	if err != nil {
		b.Fatal(err)
	}
	d, err := link.NewQUICDialer(tls)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = d.Close()
		_ = l.Close()
	})
	for range count {
		n, err := d.Dial(context.Background(), l.Address())
		if err != nil {
			b.Fatal(err)
		}
		if err := n.Control().Send(message.Hello{}); err != nil {
			b.Fatal(err)
		}
		f, err := l.Accept(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		near = append(near, n)
		far = append(far, f)
	}
	return near, far
}

func pair(b *testing.B) (near, far link.Session) {
	b.Helper()
	n, f := pairs(b, 1)
	return n[0], f[0]
}

// BenchmarkRelay sends tokens over one stream, each in a frame of its own.
func BenchmarkRelay(b *testing.B) {
	near, far := pair(b)
	st, err := near.Open(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan int)
	go func() {
		count := 0
		other, err := far.Accept(context.Background())
		for err == nil {
			var m message.Message
			if m, err = other.Receive(); m != nil {
				count++
			}
		}
		done <- count
	}()
	b.ReportAllocs()
	for b.Loop() {
		if err := st.Send(message.Chunk{Request: 1, Attempt: 1, Text: " word", Tokens: 1}); err != nil {
			b.Fatal(err)
		}
	}
	_ = st.CloseSend()
	<-done
}

// deploy starts a fleet with one agent and one entry, ready to be asked.
func deploy(b *testing.B, l deployment.Local) (*deployment.Deployment, *deployment.Entry) {
	b.Helper()
	f, err := deployment.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.Put(ctx, trees.Ovenhuis); err != nil {
		b.Fatal(err)
	}
	if _, err := f.AddAgent("agent", "gent", l); err != nil {
		b.Fatal(err)
	}
	e, err := f.AddEntry("entry", "gent")
	if err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f, e
}

// BenchmarkTrip compares a plain call through foxcross with one straight to the
// service, in the same run.
func BenchmarkTrip(b *testing.B) {
	service := &standin.Service{}
	f, e := deploy(b, deployment.Local{Target: settings.ServiceTarget("bookings"), Handler: service})
	direct, err := f.ServeHTTP(service)
	if err != nil {
		b.Fatal(err)
	}
	c := caller.Caller{URL: e.URL, Key: "gent" + trees.KeySuffix, Class: "booking-lookup"}
	var through, straight []time.Duration
	for b.Loop() {
		began := time.Now()
		if a := c.Service(context.Background(), "bookings", http.MethodGet, "/slots"); a.Err != nil {
			b.Fatal(a.Err)
		}
		through = append(through, time.Since(began))
		began = time.Now()
		response, err := http.Get(direct + "/slots")
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		straight = append(straight, time.Since(began))
	}
	for _, q := range []float64{0.5, 0.99} {
		added := caller.Quantile(through, q) - caller.Quantile(straight, q)
		b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-us-p%.0f", q*100))
	}
	b.ReportMetric(float64(caller.Quantile(through, 0.5))/float64(caller.Quantile(straight, 0.5)), "ratio-p50")
}

// warmUp is how long a new connection probes its path.
const warmUp = 5 * time.Second

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkMemory reports the bytes that a connection, a queued offer and an
// open request take.
func BenchmarkMemory(b *testing.B) {
	const connections = 50
	before := heap()
	near, far := pairs(b, connections)
	time.Sleep(warmUp)
	perConnection := float64(heap()-before) / (2 * connections)
	runtime.KeepAlive(near)
	runtime.KeepAlive(far)
	const open = 20_000
	before = heap()
	c := entryCore(50)
	base := heap()
	for range open {
		c.Accept(now, requestOf())
	}
	perRequest := float64(heap()-base) / open
	runtime.KeepAlive(c)
	for b.Loop() {
		_ = perRequest // the figures below are what counts
	}
	b.ReportMetric(perConnection, "B/connection-end")
	b.ReportMetric(perRequest, "B/open-request")
	b.ReportMetric(float64(base-min(base, before))/50, "B/known-agent")
}

// BenchmarkStream is one token of 64 chats at once, through foxcross, with the
// engine and the callers in the same process.
func BenchmarkStream(b *testing.B) {
	engine := &standin.Engine{Card: standin.Card{Step: 2 * time.Millisecond, Batch: 1 << 20}}
	_, e := deploy(b, deployment.Local{Target: target, Handler: engine.Handler()})
	const chats = 64
	var all sync.WaitGroup
	for b.Loop() {
		for n := range chats {
			all.Go(func() {
				c := caller.Caller{URL: e.URL, Key: "gent" + trees.KeySuffix, Class: "load-check", Most: 100}
				if a := c.Chat(context.Background(), target, fmt.Sprint("question ", n)); a.Tokens != 100 {
					b.Error(a.Err)
				}
			})
		}
		all.Wait()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*chats*100), "us/token")
}
