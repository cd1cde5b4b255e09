package endpoint_test

import (
	"context"
	"net/http/httptest"

	"foxcross.dev/foxcross/internal/relay/endpoint"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CrashDetector.HasCrashed", func() {
	It("returns true if the endpoint refuses connections, and false while it accepts them", func() {
		for _, name := range []string{"http", "openai"} {
			server := httptest.NewServer(nil)
			factory, err := endpoint.Drivers.Get(name)
			Expect(err).NotTo(HaveOccurred())
			d, err := factory(endpoint.Settings{Name: "e", Address: server.URL})
			Expect(err).NotTo(HaveOccurred())
			x := d.(endpoint.CrashDetector)
			Expect(x.HasCrashed(context.Background())).To(BeFalse(), name)
			server.Close()
			Expect(x.HasCrashed(context.Background())).To(BeTrue(), name)
		}
	})
})
