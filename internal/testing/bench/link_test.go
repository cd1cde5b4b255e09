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

// BenchmarkEncode measures the encoding of a frame.
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

// connect returns both ends of count QUIC connections between one dialer and one
// listener on loopback.
func connect(b *testing.B, count int) (near, far []link.Session) {
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

func connectOne(b *testing.B) (near, far link.Session) {
	b.Helper()
	n, f := connect(b, 1)
	return n[0], f[0]
}

// BenchmarkRelay measures sending tokens over one stream, each in a separate frame.
func BenchmarkRelay(b *testing.B) {
	near, far := connectOne(b)
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

// startDeployment starts a deployment with one agent and one entry and waits until it is ready.
func startDeployment(b *testing.B, backend deployment.Backend) (*deployment.Deployment, *deployment.Entry) {
	b.Helper()
	f, err := deployment.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.ReplaceSettings(ctx, trees.Ovenhuis); err != nil {
		b.Fatal(err)
	}
	if _, err := f.AddAgent("agent", "gent", backend); err != nil {
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

// BenchmarkTrip compares a plain call through foxcross with a direct call to the
// service, in the same run.
func BenchmarkTrip(b *testing.B) {
	service := &standin.Service{}
	f, e := startDeployment(b, deployment.Backend{Target: settings.ServiceTarget("bookings"), Handler: service})
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

// pathProbeTime is the time in which a new connection probes its path.
const pathProbeTime = 5 * time.Second

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkMemory reports the memory of a connection end, an open request and a known
// agent.
func BenchmarkMemory(b *testing.B) {
	const connections = 50
	before := heapInUse()
	near, far := connect(b, connections)
	time.Sleep(pathProbeTime)
	perConnection := float64(heapInUse()-before) / (2 * connections)
	runtime.KeepAlive(near)
	runtime.KeepAlive(far)
	const open = 20_000
	before = heapInUse()
	c := newEntryCore(50)
	base := heapInUse()
	for range open {
		c.Accept(now, newRequest())
	}
	perRequest := float64(heapInUse()-base) / open
	runtime.KeepAlive(c)
	for b.Loop() {
		_ = perRequest // only the figures below are of interest
	}
	b.ReportMetric(perConnection, "B/connection-end")
	b.ReportMetric(perRequest, "B/open-request")
	b.ReportMetric(float64(base-min(base, before))/50, "B/known-agent")
}

// BenchmarkStream measures the time per token of 64 concurrent chats through foxcross,
// with the engine and the callers in the same process.
func BenchmarkStream(b *testing.B) {
	engine := &standin.Engine{Card: standin.Card{Step: 2 * time.Millisecond, Batch: 1 << 20}}
	_, e := startDeployment(b, deployment.Backend{Target: target, Handler: engine.Handler()})
	const chats = 64
	var all sync.WaitGroup
	for b.Loop() {
		for n := range chats {
			all.Go(func() {
				c := caller.Caller{URL: e.URL, Key: "gent" + trees.KeySuffix, Class: "load-check", MaxTokens: 100}
				if a := c.Chat(context.Background(), target, fmt.Sprint("question ", n)); a.Tokens != 100 {
					b.Error(a.Err)
				}
			})
		}
		all.Wait()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*chats*100), "us/token")
}
