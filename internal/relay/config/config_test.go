package config_test

import (
	"os"
	"path/filepath"
	"strings"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/config"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const examples = "../../../examples/processes/"

// changed writes a copy of an example file with one text replaced, and returns its path.
func changed(example, old, replacement string) string {
	data, err := os.ReadFile(examples + example)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(old))
	path := filepath.Join(GinkgoT().TempDir(), example)
	Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600)).To(Succeed())
	return path
}

var _ = Describe("ReadEntry", func() {
	It("reads the example", func() {
		c, err := config.ReadEntry(examples + "entry-1.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Name).To(Equal("entry-1"))
	})

	It("reports an unreadable file", func() {
		_, err := config.ReadEntry("/nowhere.json")
		Expect(err.(*result.Error).Code).To(Equal(result.FileUnreadable))
	})

	DescribeTable("names the file, the field and the reason",
		func(old, replacement string, code result.Code, field string) {
			path := changed("entry-1.json", old, replacement)
			_, err := config.ReadEntry(path)
			Expect(err).To(HaveOccurred())
			Expect(err.(*result.Error).Code).To(Equal(code))
			Expect(err.Error()).To(ContainSubstring(path))
			Expect(err.Error()).To(ContainSubstring(field))
		},
		Entry("invalid syntax", `{`, `{{`, result.FileSyntax, ""),
		Entry("wrong type", `"entry-1"`, `1`, result.FileField, "/name"),
		Entry("no port", `"127.0.0.1:8010"`, `"127.0.0.1"`, result.FileField, "/listen"),
		Entry("unknown field", `"listen"`, `"lisen"`, result.FileField, "lis"),
		Entry("unknown level", `"info"`, `"loud"`, result.FileField, "/log/level"),
	)
})

var _ = Describe("ReadAgent", func() {
	It("reads the examples", func() {
		for _, n := range []string{"agent-1.json", "agent-2.json"} {
			c, err := config.ReadAgent(examples + n)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Endpoints).NotTo(BeEmpty())
		}
	})

	It("refuses an endpoint with both a model and a service", func() {
		path := changed("agent-1.json", `"model": "glaze-8b"`, `"model": "glaze-8b", "service": "x"`)
		_, err := config.ReadAgent(path)
		Expect(err).To(MatchError(ContainSubstring("/endpoints/0")))
	})
})
