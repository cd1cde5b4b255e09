package admin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/metrics"
	"foxcross.dev/foxcross/internal/relay/admin"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	"github.com/alexedwards/flow"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

const operatorKey = "operator-key"

// reply is a response whose body was read.
type reply struct {
	status int
	etag   string
	body   string
}

// code returns the result code in an error response.
func (r reply) code() result.Code {
	var f admin.ErrorResponse
	Expect(json.Unmarshal([]byte(r.body), &f)).To(Succeed(), r.body)
	return f.Code
}

var _ = Describe("Handler", func() {
	var (
		server *httptest.Server
		store  *standin.Store
		key    string
	)

	BeforeEach(func() {
		store = &standin.Store{}
		changes := 0
		tree := &admin.Tree{Store: &versions.Store{KeyValue: store, Holder: &versions.Holder{}, Now: time.Now, NewID: func() string {
			changes++
			return fmt.Sprint(changes)
		}}}
		scope, served, closer := metrics.New("entry")
		DeferCleanup(closer.Close)
		scope.Counter("tries").Inc(1)
		server = httptest.NewServer(admin.Handler(admin.Options{
			KeyHash: settings.HashKey(operatorKey),
			Dump:    func() any { return map[string]string{"state": "serving"} },
			Metrics: served,
			Tree:    tree,
			ReleaseContent: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, flow.Param(r.Context(), "content")) // read by the spec
			}),
		}))
		DeferCleanup(server.Close)
		key = operatorKey
	})

	call := func(method, path, match, body string) reply {
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+key)
		if match != "" {
			r.Header.Set("If-Match", match)
		}
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return reply{status: response.StatusCode, etag: response.Header.Get("ETag"), body: string(data)}
	}

	put := func() {
		r := call(http.MethodPut, admin.TreePath, `"0"`, string(trees.Ovenhuis))
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(r.etag).To(Equal(`"1"`))
	}

	const node = `{"kind":"team","set":{"weight":9}}`

	It("refuses requests without the operators' key", func() {
		key = "gent-key"
		for _, p := range []string{admin.TreePath, admin.StatePath, admin.MetricsPath, admin.HistoryPath} {
			Expect(call(http.MethodGet, p, "", "").status).To(Equal(http.StatusUnauthorized))
		}
		Expect(call(http.MethodGet, "/health", "", "").status).To(Equal(http.StatusNoContent))
	})

	It("releases a content only with the operators' key", func() {
		const path = "/v1/contents/0123/release"
		Expect(call(http.MethodPost, path, "", "").body).To(Equal("0123"))
		key = "gent-key"
		Expect(call(http.MethodPost, path, "", "").status).To(Equal(http.StatusUnauthorized))
	})

	It("returns state and metrics", func() {
		Expect(call(http.MethodGet, admin.StatePath, "", "").body).To(ContainSubstring("serving"))
		Eventually(func() string { return call(http.MethodGet, admin.MetricsPath, "", "").body }, "10s").
			Should(ContainSubstring("foxcross_entry_tries"))
	})

	It("stores a tree and its versions", func() {
		put()
		r := call(http.MethodPatch, admin.NodePath+"?path=teams/new", "", node)
		Expect(r.etag).To(Equal(`"2"`))
		Expect(call(http.MethodGet, admin.TreePath, "", "").body).To(ContainSubstring(`"new"`))
		Expect(call(http.MethodGet, admin.TreePath+"?version=1", "", "").body).NotTo(ContainSubstring(`"new"`))
		Expect(call(http.MethodGet, admin.DiffPath+"?from=1&to=2", "", "").body).To(ContainSubstring("teams/new"))
		Expect(call(http.MethodPost, admin.RollbackPath+"?version=1", "", "").etag).To(Equal(`"3"`))
		Expect(call(http.MethodGet, admin.TreePath, "", "").body).NotTo(ContainSubstring(`"new"`))
		var lines []struct{ Version int }
		Expect(json.Unmarshal([]byte(call(http.MethodGet, admin.HistoryPath, "", "").body), &lines)).To(Succeed())
		Expect(lines).To(HaveLen(3))
	})

	It("changes nothing in a dry run", func() {
		put()
		r := call(http.MethodDelete, admin.NodePath+"?dry_run=1&path=teams/mons", "", "")
		Expect(r.body).To(ContainSubstring("teams/mons"))
		Expect(call(http.MethodGet, admin.TreePath, "", "").etag).To(Equal(`"1"`))
	})

	It("rebases a change on an older version, or refuses it as a conflict", func() {
		put()
		Expect(call(http.MethodPatch, admin.NodePath+"?path=teams/a", `"1"`, node).etag).To(Equal(`"2"`))
		Expect(call(http.MethodPatch, admin.NodePath+"?path=teams/b", `"1"`, node).etag).To(Equal(`"3"`))
		r := call(http.MethodPatch, admin.NodePath+"?path=teams/a", `"1"`, `{"kind":"team","set":{"weight":2}}`)
		Expect(r.status).To(Equal(http.StatusConflict))
		Expect(r.code()).To(Equal(result.SettingsConflict))
	})

	DescribeTable("refuses invalid requests and leaves the tree unchanged",
		func(method, path, match, body string, code result.Code) {
			put()
			r := call(method, path, match, body)
			Expect(r.code()).To(Equal(code))
			Expect(r.status).To(Equal(code.Entry().Status))
			Expect(call(http.MethodGet, admin.TreePath, "", "").etag).To(Equal(`"1"`))
		},
		Entry("invalid JSON", http.MethodPut, admin.TreePath, `"1"`, "{", result.SettingsInvalid),
		Entry("no base version", http.MethodPut, admin.TreePath, "", "{}", result.BadRequest),
		Entry("unknown field", http.MethodPatch, admin.NodePath+"?path=teams/a", "", `{"set":{"weigth":1}}`, result.SettingsInvalid),
		Entry("value out of range", http.MethodPatch, admin.NodePath+"?path=teams/a", "", `{"set":{"weight":0}}`, result.SettingsInvalid),
		Entry("missing parent", http.MethodPatch, admin.NodePath+"?path=none/a", "", node, result.SettingsInvalid),
		Entry("invalid name", http.MethodPatch, admin.NodePath+"?path=teams/A%20B", "", node, result.SettingsInvalid),
		Entry("missing node", http.MethodDelete, admin.NodePath+"?path=teams/none", "", "", result.NotFound),
		Entry("a class in use", http.MethodDelete, admin.NodePath+"?path=classes/language/glaze-question", "", "", result.SettingsInvalid),
		Entry("unknown version", http.MethodPost, admin.RollbackPath+"?version=9", "", "", result.SettingsVersion),
	)

	It("reports that nothing was changed while the key-value service is down", func() {
		put()
		store.SetFaults(standin.Faults{Down: true})
		r := call(http.MethodPatch, admin.NodePath+"?path=teams/a", "", node)
		Expect(r.code()).To(Equal(result.StoreUnavailable))
		Expect(r.body).To(ContainSubstring("not run"))
		Expect(call(http.MethodGet, admin.TreePath, "", "").status).To(Equal(http.StatusOK))
	})
})
