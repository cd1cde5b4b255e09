package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("runs that are copied to a second engine", func() {
	engine := func(replicas bool) map[string]any {
		return map[string]any{"slots": 8, "kvCapacity": 500_000, "kvBytes": 18_432, "linkMbps": 740_000.0, "replicas": replicas}
	}
	plan := func(h *harness, tokens string) *http.Request {
		q := h.request(http.MethodPost, "/plan/1", "x")
		q.Header.Set(platformtest.TokensField, tokens)
		return q
	}
	const small, large = "900,100", "7000,100"
	whole := platformtest.Events{To: 30}
	crash := platformtest.Events{To: 7, Crash: true}

	// start returns a harness of two engines with copies. Each performs the script's next step.
	start := func(script ...platformtest.Behavior) *harness {
		h := newHarness(whole, whole)
		h.engines(engine(true))
		platformtest.ShareScript(h.runners, script...)
		return h
	}
	// order returns the engine that got the request without an event to continue after, and the other.
	order := func(h *harness) (first, second *platformtest.Runner) {
		if len(h.runners[0].Runs()) == 0 || h.runners[0].Runs()[0].Header.Get(platformtest.ContinueField) != "" {
			return h.runners[1], h.runners[0]
		}
		return h.runners[0], h.runners[1]
	}

	It("continue there after the last event when their engine crashes, with the first engine's header", func() {
		h := start(crash, whole)
		a := h.do(plan(h, small))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
		first, second := order(h)
		Expect(a.header.Get(platformtest.InstanceField)).To(Equal(first.ID))
		Expect(first.Runs()[0].Header.Get(platformtest.ReplicaField)).To(Equal(second.Address()))
		continued := second.Runs()[0]
		Expect(continued.Header.Get(platformtest.LastEventField)).To(Equal("7"))
		Expect(continued.Header.Get(platformtest.ContinueField)).To(Equal(second.Address() + "/" + continued.ID))
		Expect(continued.ID).To(Equal(first.Runs()[0].ID))
		Expect(string(continued.Body)).To(Equal("x"))
	})

	It("continue there when their engine crashes before the first event", func() {
		h := start(platformtest.Crash{}, whole)
		a := h.do(plan(h, small))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
		first, second := order(h)
		Expect(first.Runs()).To(HaveLen(1))
		Expect(second.Runs()[0].Header.Get(platformtest.ContinueField)).NotTo(BeEmpty())
	})

	It("go on if the engine that holds the copy crashes first", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 30, Hold: hold})
		go func() {
			defer GinkgoRecover()
			defer close(hold)
			Eventually(h.runs).Should(Equal(1))
			_, second := order(h)
			second.Close()
		}()
		a := h.do(plan(h, small))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
	})

	// limitHolder has the engine with the copy reach its rate limit, ends the hold of the first engine and calls then after 200 ms.
	limitHolder := func(h *harness, hold chan struct{}, then func(holder *platformtest.Runner)) {
		defer GinkgoRecover()
		Eventually(h.runs).Should(Equal(1))
		_, second := order(h)
		receiver := h.gateway.EventReceiver()
		receiver.HandleEvents(99, []peers.Event{{Kind: peers.LimitAnnounced, Endpoint: second.ID, Limit: 0.1, ResponseMS: 1}})
		for n := range uint64(3) {
			receiver.HandleEvents(99, []peers.Event{{Kind: peers.AttemptSent, Number: n + 1, Endpoint: second.ID, Request: &placement.Request{Service: service}}})
		}
		close(hold)
		time.Sleep(200 * time.Millisecond) // the first engine has crashed
		then(second)
	}

	It("wait for the engine with the copy while it is at a rate limit", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold}, whole)
		go limitHolder(h, hold, func(holder *platformtest.Runner) {
			h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{Kind: peers.LimitAnnounced, Endpoint: holder.ID, ResponseMS: 1}})
		})
		a := h.do(plan(h, small))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
		Expect(h.runs()).To(Equal(2))
	})

	It("are truncated if the engine with the copy crashes while they wait for it", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold}, whole)
		go limitHolder(h, hold, func(holder *platformtest.Runner) {
			h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{Kind: peers.EndpointCrashed, Endpoint: holder.ID}})
		})
		h.do(plan(h, small)).expectTruncated()
		Expect(h.runs()).To(Equal(1))
	})

	It("are truncated after a second if the engine with the copy can't take them", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold}, whole)
		go limitHolder(h, hold, func(*platformtest.Runner) {})
		began := time.Now()
		h.do(plan(h, small)).expectTruncated()
		Expect(time.Since(began)).To(BeNumerically(">", time.Second))
		Expect(h.runs()).To(Equal(1))
	})

	It("go on though a part on which they have written is held", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold}, whole)
		part := quarantine.PartKey(service, 0xaa)
		go func() {
			defer GinkgoRecover()
			Eventually(h.runs).Should(Equal(1))
			time.Sleep(200 * time.Millisecond) // the run has written for longer than a crashing one does
			for n := range 3 {
				h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{
					Kind: peers.EndpointCrashed, Endpoint: fmt.Sprint("i-gone-", n), AgeMS: int64(2000 * (3 - n)),
					PartRuns: []quarantine.PartReport{{Part: part[:], Source: uint64(n + 1), RanMS: 20}},
				}})
			}
			close(hold)
		}()
		q := plan(h, small)
		q.Header.Set(platformtest.PartsField, "aa:500,1:400")
		a := h.do(q)
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
	})

	It("are truncated if both engines crash", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold})
		go func() {
			defer GinkgoRecover()
			defer close(hold)
			Eventually(h.runs).Should(Equal(1))
			_, second := order(h)
			second.Close()
		}()
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
		Expect(h.runs()).To(Equal(1))
	})

	It("are truncated if the engine that continues them crashes", func() {
		h := start(crash, platformtest.Events{To: 12, Crash: true})
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(12)))
		Expect(h.runs()).To(Equal(2))
	})

	It("are truncated if the second engine has no copy, and don't run there", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold})
		go func() {
			defer GinkgoRecover()
			defer close(hold)
			Eventually(h.runs).Should(Equal(1))
			_, second := order(h)
			second.DropCopies()
		}()
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
		Expect(h.runs()).To(Equal(1))
	})

	It("end with 502 if their engine crashes before the first event and the second has no copy", func() {
		after := make(chan struct{})
		h := start(platformtest.Crash{After: after})
		go func() {
			defer GinkgoRecover()
			defer close(after)
			Eventually(h.runs).Should(Equal(1))
			_, second := order(h)
			second.DropCopies()
		}()
		a := h.do(plan(h, small))
		a.expectWhole(http.StatusBadGateway)
		Expect(h.runs()).To(Equal(1))
	})

	It("don't continue if their engine was only cut off", func() {
		h := start(platformtest.Events{To: 7, Broken: true}, whole)
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
		Expect(h.runs()).To(Equal(1))
	})

	It("are truncated before an event that the caller already has", func() {
		h := start(crash, platformtest.Events{To: 30, Repeat: 2})
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
	})

	It("don't continue once the caller has left", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			defer close(hold)
			Eventually(h.runs).Should(Equal(1))
			leave()
			time.Sleep(100 * time.Millisecond) // the entry receives the close
		}()
		Expect(h.do(plan(h, small).WithContext(ctx)).err).To(HaveOccurred())
		Consistently(h.runs, "300ms").Should(Equal(1))
	})

	It("continue when an engine that leaves ends before them", func() {
		hold := make(chan struct{})
		h := start(platformtest.Events{To: 7, Crash: true, Hold: hold}, whole)
		go func() {
			defer GinkgoRecover()
			defer close(hold)
			Eventually(h.runs).Should(Equal(1))
			first, _ := order(h)
			h.store.PutEndpoint(first, "draining")
			Eventually(func() bool { return h.gateway.Directory().Serving(first.ID) }).Should(BeFalse())
		}()
		a := h.do(plan(h, small))
		a.expectWhole(200)
		Expect(eventIDs(a.body)).To(Equal(sequence(30)))
	})

	It("get no copy at an engine that leaves", func() {
		h := newHarness(whole, whole)
		h.engines(engine(true))
		h.store.PutEndpoint(h.runners[1], "draining")
		Eventually(func() bool { return h.gateway.Directory().Serving(h.runners[1].ID) }).Should(BeFalse())
		h.do(plan(h, small)).expectWhole(200)
		Expect(h.runners[0].Runs()[0].Header).NotTo(HaveKey(http.CanonicalHeaderKey(platformtest.ReplicaField)))
	})

	It("get a copy of a large prompt only after an engine of the service has crashed", func() {
		h := newHarness(whole, whole, whole)
		h.engines(engine(true))
		send := func() http.Header {
			before := h.runs()
			h.do(plan(h, large)).expectWhole(200)
			Expect(h.runs()).To(Equal(before + 1))
			for _, r := range h.runners {
				if runs := r.Runs(); len(runs) > 0 && runs[len(runs)-1].ID == fmt.Sprint("id-", h.ids.Load()) {
					return runs[len(runs)-1].Header
				}
			}
			return nil
		}
		Expect(send().Get(platformtest.ReplicaField)).To(BeEmpty())
		h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{Kind: peers.EndpointCrashed, Endpoint: h.runners[0].ID, AgeMS: 60_000}})
		Expect(send().Get(platformtest.ReplicaField)).To(BeEmpty(), "a crash of a minute ago")
		h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{Kind: peers.EndpointCrashed, Endpoint: h.runners[0].ID}})
		Expect(send().Get(platformtest.ReplicaField)).NotTo(BeEmpty())
	})

	It("count at the engine that holds the copy, also for runs of other entries", func() {
		h := newHarness(whole, whole)
		h.engines(engine(true))
		copies := func() int {
			n := 0
			for _, e := range h.gateway.Dump().Endpoints {
				n += e.Replicas
			}
			return n
		}
		spec := &placement.Request{Service: service}
		sent := func(number uint64, replica string) peers.Event {
			return peers.Event{Kind: peers.AttemptSent, Number: number, Endpoint: h.runners[0].ID, Request: spec, Replica: replica}
		}
		receiver := h.gateway.EventReceiver()
		receiver.HandleEvents(99, []peers.Event{sent(1, h.runners[1].ID), sent(2, "i-unknown"), sent(3, "")})
		Expect(copies()).To(Equal(1))
		receiver.HandleEvents(99, []peers.Event{{Kind: peers.AttemptEnded, Number: 1}, {Kind: peers.AttemptEnded, Number: 2}})
		Expect(copies()).To(Equal(0))
	})

	It("are not continued where their content has crashed another engine before, which would crash a third", func() {
		h := start(crash, whole)
		q := plan(h, small)
		k := quarantine.KeyOf("studio-1", http.MethodPost, routeHost+"/plan/1", []byte("x"))
		h.gateway.EventReceiver().HandleEvents(99, []peers.Event{{
			Kind: peers.EndpointCrashed, Endpoint: "i-gone", Runs: []quarantine.RunReport{{Content: k[:]}},
		}})
		a := h.do(q)
		a.expectTruncated()
		Expect(h.runs()).To(Equal(1))
	})

	It("get no copy if they may be repeated", func() {
		h := start()
		q := h.request(http.MethodPost, "/chat/1", "x")
		q.Header.Set(platformtest.TokensField, small)
		h.do(q).expectWhole(200)
		first, _ := order(h)
		Expect(first.Runs()[0].Header).NotTo(HaveKey(http.CanonicalHeaderKey(platformtest.ReplicaField)))
	})

	It("are truncated as before where the engines offer no copies, and callers can't ask for one", func() {
		h := newHarness(whole, whole)
		h.engines(engine(false))
		platformtest.ShareScript(h.runners, crash, whole)
		q := plan(h, small)
		q.Header.Set(platformtest.ReplicaField, h.runners[0].Address())
		q.Header.Set(platformtest.ContinueField, h.runners[0].Address()+"/x")
		a := h.do(q)
		a.expectTruncated()
		Expect(eventIDs(a.body)).To(Equal(sequence(7)))
		Expect(h.runs()).To(Equal(1))
		first, _ := order(h)
		Expect(first.Runs()[0].Header).NotTo(HaveKey(http.CanonicalHeaderKey(platformtest.ReplicaField)))
		Expect(first.Runs()[0].Header).NotTo(HaveKey(http.CanonicalHeaderKey(platformtest.ContinueField)))
	})

	It("have no copy at an engine that runs another version of its software, nor go on there", func() {
		h := newHarness(whole, whole)
		h.runners[1].Version = "v2"
		h.engines(engine(true))
		platformtest.ShareScript(h.runners, crash, whole)
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(h.runs()).To(Equal(1))
		first, _ := order(h)
		Expect(first.Runs()[0].Header).NotTo(HaveKey(http.CanonicalHeaderKey(platformtest.ReplicaField)))
	})

	It("don't go on if their engine may have been another version that restarted under its ID", func() {
		h := newHarness(whole, whole, whole)
		for _, r := range h.runners {
			r.StartedMS = 7
		}
		h.runners[2].Version, h.runners[2].DataCentre = "v2", "zone-2" // farther than the others
		h.engines(engine(true))
		platformtest.ShareScript(h.runners, crash, whole)
		a := h.do(plan(h, small))
		a.expectTruncated()
		Expect(h.runs()).To(Equal(1))
	})
})
