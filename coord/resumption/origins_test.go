package resumption_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
)

func attempt(n int) placement.AttemptID { return placement.AttemptID{Owner: 1, Number: uint64(n)} }

func expectEndpoint(t *testing.T, o *resumption.Origins, key resumption.Key, want string) {
	t.Helper()
	got, _, known := o.Endpoint(key)
	if got != want || known != (want != "") {
		t.Errorf("stream %d began at %q, %v, want %q", key, got, known, want)
	}
}

func TestStreamBeginsAtTheAttemptOfItsFirstEvent(t *testing.T) {
	var o resumption.Origins
	o.Sent(at(0), attempt(1), 7, "a", time.Second)
	expectEndpoint(t, &o, 7, "")
	o.Ended(attempt(1))
	o.Sent(at(0), attempt(2), 7, "b", time.Second)
	o.FirstEvent(at(0), attempt(1)) // late, of an attempt that is known to have ended
	expectEndpoint(t, &o, 7, "")
	o.FirstEvent(at(0), attempt(2))
	expectEndpoint(t, &o, 7, "b")
	o.Ended(attempt(2))
	expectEndpoint(t, &o, 7, "b")
}

func TestStreamIsKnownFromItsResumption(t *testing.T) {
	var o resumption.Origins
	o.Resumed(at(0), 7, "a", time.Second)
	expectEndpoint(t, &o, 7, "a")
	o.Resumed(at(0), 7, "b", time.Minute)
	expectEndpoint(t, &o, 7, "a")
	o.Expire(at(30 * time.Second))
	expectEndpoint(t, &o, 7, "a")
}

// TestRequestIDThatIsUsedTwiceTellsNothing guards against resumption at the version of another stream.
func TestRequestIDThatIsUsedTwiceTellsNothing(t *testing.T) {
	var o resumption.Origins
	for n, endpoint := range []string{"a", "b", "b"} {
		o.Sent(at(0), attempt(n), 7, endpoint, time.Second)
		o.FirstEvent(at(0), attempt(n))
	}
	expectEndpoint(t, &o, 7, "")
	o.Expire(at(time.Minute))
	if recorded, _ := o.Counts(); recorded != 0 {
		t.Errorf("%d streams are recorded", recorded)
	}
}

func TestStreamsExpire(t *testing.T) {
	var o resumption.Origins
	o.Sent(at(0), attempt(1), 7, "a", 10*time.Second)
	o.Sent(at(0), attempt(2), 8, "a", 10*time.Second)
	o.FirstEvent(at(time.Second), attempt(1))
	o.Expire(at(14 * time.Second))
	expectEndpoint(t, &o, 7, "a")
	o.Expire(at(17 * time.Second))
	expectEndpoint(t, &o, 7, "")
	o.FirstEvent(at(17*time.Second), attempt(2))
	expectEndpoint(t, &o, 8, "")
}

// TestNewStreamsAreRecordedAtTheBound guards against a full table that knows only streams that have ended.
func TestNewStreamsAreRecordedAtTheBound(t *testing.T) {
	const bound = 1 << 20
	var o resumption.Origins
	for n := range bound + 100_000 {
		o.Resumed(at(time.Duration(n)*time.Millisecond/50), resumption.Key(n+1), "a", time.Minute)
	}
	expectEndpoint(t, &o, bound+100_000, "a")
	expectEndpoint(t, &o, 1, "")
	if recorded, dropped := o.Counts(); recorded > bound || recorded+dropped != bound+100_000 {
		t.Errorf("%d streams are recorded, %d dropped", recorded, dropped)
	}
}

// TestOriginIsNeverWrong guards against wrong origins when announcements of attempts are lost.
func TestOriginIsNeverWrong(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var o resumption.Origins
		began := map[resumption.Key]string{}
		now := origin
		known := 0
		for n := range 500 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			key := resumption.Key(1 + n)
			for try := 0; ; try++ { // attempts until one brings the first event
				id, endpoint := attempt(n*10+try), fmt.Sprint("i-", random.IntN(20))
				received := func() bool { return random.IntN(4) > 0 }
				if received() {
					o.Sent(now, id, key, endpoint, 5*time.Second)
				}
				if try < 3 && random.IntN(3) == 0 {
					if received() {
						o.Ended(id)
					}
					continue
				}
				began[key] = endpoint
				if received() {
					o.FirstEvent(now, id)
				}
				break
			}
			o.Expire(now)
			asked := resumption.Key(1 + random.IntN(n+1))
			got, _, ok := o.Endpoint(asked)
			if ok && got != began[asked] {
				t.Fatalf("seed %d: stream %d began at %s, not %s", seed, asked, began[asked], got)
			}
			if ok {
				known++
			}
		}
		if known == 0 {
			t.Fatalf("seed %d: no origin was known", seed)
		}
	}
}

// BenchmarkOrigins records streams at the rates of docs/CAPACITY.md, and reports the memory of those that
// are recorded at the end.
func BenchmarkOrigins(b *testing.B) {
	for _, perSecond := range []int{22_000, 44_000} {
		b.Run(fmt.Sprintf("%d_a_second", perSecond), func(b *testing.B) {
			const deadline, seconds = 15 * time.Second, 40
			endpoints := make([]string, 1600)
			for n := range endpoints {
				endpoints[n] = fmt.Sprintf("i-%010x@1780000000000", n)
			}
			for b.Loop() {
				before, began := heapBytes(), time.Now()
				var o resumption.Origins
				n := 0
				var expiring time.Duration
				for second := range seconds {
					for range perSecond {
						now := at(time.Duration(second) * time.Second)
						o.Sent(now, attempt(n), resumption.Key(uint64(n)*0x9e3779b97f4a7c15), endpoints[n%len(endpoints)], deadline)
						if n >= perSecond/2 {
							o.FirstEvent(now, attempt(n-perSecond/2)) // half a second later
						}
						n++
					}
					from := time.Now()
					o.Expire(at(time.Duration(second) * time.Second))
					expiring = time.Since(from)
				}
				from := time.Now()
				parts := o.Snapshot(at(seconds * time.Second))
				snapshotting := time.Since(from)
				var started resumption.Origins
				from = time.Now()
				restore(&started, at(seconds*time.Second), parts)
				b.ReportMetric(float64(snapshotting.Microseconds()), "µs/snapshot")
				b.ReportMetric(float64(time.Since(from).Microseconds())/float64(len(parts)), "µs/part")
				recorded, dropped := o.Counts()
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				b.ReportMetric(float64(recorded), "streams")
				b.ReportMetric(float64(dropped), "dropped")
				b.ReportMetric(float64(expiring.Microseconds()), "µs/expiry")
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(n), "ns/stream")
				runtime.KeepAlive(&o)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
