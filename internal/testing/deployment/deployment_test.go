package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/deployment"
	"foxcross.dev/foxcross/internal/testing/golden"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment")
}

// The specifications cover the path of a request over real sockets: HTTP, QUIC with mutual TLS, HTTP.
var _ = Describe("Deployment", Ordered, func() {
	var (
		f      *deployment.Deployment
		entry  *deployment.Entry
		hall   *deployment.Agent
		engine *standin.Engine
		ctx    context.Context
	)

	BeforeAll(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*time.Minute)
		DeferCleanup(cancel)
		var err error
		f, err = deployment.New()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		Expect(f.ReplaceSettings(ctx, trees.Ovenhuis)).To(Succeed())
		engine = &standin.Engine{Card: standin.Card{Step: 2 * time.Millisecond}}
		hall, err = f.AddAgent("hall", "gent", deployment.Backend{Target: "glaze-8b", Handler: engine.Handler()})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.AddAgent("app", "gent", deployment.Backend{Target: settings.ServiceTarget("bookings"), Handler: &standin.Service{}})
		Expect(err).NotTo(HaveOccurred())
		entry, err = f.AddEntry("entry", "gent")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WaitReady(ctx)).To(Succeed())
	})

	as := func(team string) caller.Caller { return caller.Caller{URL: entry.URL, Key: team + trees.KeySuffix} }

	post := func(path, body string, header map[string]string) *http.Response {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for n, v := range header {
			r.Header.Set(n, v)
		}
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	It("streams a whole answer", func() {
		a := as("gent").Chat(ctx, "glaze-8b", "which glaze")
		Expect(a.Err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal(result.OK))
		Expect(a.Body).To(Equal(standin.AnswerText([]string{"which glaze"}, 0)))
	})

	It("shows the recorded fields in the state dumps", func() {
		for name, dump := range map[string]any{"entry.golden": entry.Dump(), "agent.golden": hall.Dump()} {
			data, err := json.Marshal(dump)
			Expect(err).NotTo(HaveOccurred())
			golden.Compare(GinkgoT(), name, golden.Keys(GinkgoT(), data))
		}
	})

	It("gives many callers their own answers", func() {
		var all sync.WaitGroup
		for n := range 60 {
			all.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprint("question ", n)
				Expect(as("gent").Chat(ctx, "glaze-8b", prompt).Body).To(Equal(standin.AnswerText([]string{prompt}, 0)))
			})
		}
		all.Wait()
	})

	It("answers a plain service with its status and body", func() {
		a := as("gent").Service(ctx, "bookings", http.MethodGet, "/slots/1")
		Expect(a.Code).To(Equal(result.OK))
		Expect(a.Body).To(Equal("done: GET /slots/1 "))
	})

	DescribeTable("answers bad input with a code, as not run",
		func(path, body string, header map[string]string, code result.Code) {
			response := post(path, body, header)
			Expect(response.StatusCode).To(Equal(code.Entry().Status))
			Expect(response.Header.Get("X-Foxcross-Code")).To(Equal(fmt.Sprint(uint16(code))))
			Expect(response.Header.Get("X-Foxcross-Run")).To(Equal("not run"))
			data, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(ContainSubstring(code.Entry().Name))
		},
		Entry("no key", "/v1/chat/completions", "{}", nil, result.UnknownTeam),
		Entry("unknown key", "/v1/chat/completions", "{}", bearer("nobody"), result.UnknownTeam),
		Entry("bad JSON", "/v1/chat/completions", "{", bearer("gent-key"), result.BadRequest),
		Entry("no messages", "/v1/chat/completions", `{"model":"glaze-8b"}`, bearer("gent-key"), result.BadRequest),
		Entry("unknown model", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, bearer("gent-key"), result.UnknownModel),
		Entry("unknown class", "/v1/chat/completions", `{"model":"glaze-8b","messages":[{}]}`, withHeader(bearer("gent-key"), "X-Foxcross-Class", "x"), result.UnknownClass),
		Entry("huge body", "/v1/chat/completions", strings.Repeat("x", 9<<20), bearer("gent-key"), result.BodyTooLarge),
		Entry("unknown service", "/services/x/y", "", bearer("gent-key"), result.UnknownService),
		Entry("long idempotency key", "/services/bookings/confirmations", "", withHeader(bearer("gent-key"), "Idempotency-Key", strings.Repeat("k", 300)), result.BadKey),
		Entry("unknown path", "/nothing", "", nil, result.NotFound),
	)

	It("continues at another agent when an agent is killed during an answer", func() {
		slow := &standin.Engine{Card: standin.Card{Step: 20 * time.Millisecond}}
		begun := make(chan struct{})
		slow.OnStart = func(string) { close(begun) }
		engine.SetBroken(true)
		_, err := f.AddAgent("hall-2", "gent", deployment.Backend{Target: "glaze-8b", Handler: slow.Handler()})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WaitReady(ctx)).To(Succeed())
		go func() {
			<-begun
			engine.SetBroken(false)
			f.KillAgent("hall-2")
		}()
		a := as("gent").Chat(ctx, "glaze-8b", "which cone")
		Expect(a.Err).NotTo(HaveOccurred())
		Expect(a.Body).To(Equal(standin.AnswerText([]string{"which cone"}, 0)))
	})

	It("refuses at once when the only agent has left", func() {
		Expect(f.StopAgent(ctx, "app")).To(Succeed())
		a := as("gent").Service(ctx, "bookings", http.MethodPost, "/confirmations/1")
		Expect(a.Code).To(Equal(result.NoEndpoint))
		Expect(a.Run).To(Equal(result.NotRun))
	})

	It("stops an entry after its last answer", func() {
		engine.SetSlowdown(20)
		answered := make(chan caller.Answer, 1)
		go func() { answered <- as("gent").Chat(ctx, "glaze-8b", "the last one") }()
		Eventually(func() int { return entry.Dump().Open }, "10s", "1ms").Should(Equal(1))
		Expect(f.StopEntry(ctx, "entry")).To(Succeed())
		Expect((<-answered).Code).To(Equal(result.OK))
	})
})

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

func withHeader(header map[string]string, name, value string) map[string]string {
	header[name] = value
	return header
}
