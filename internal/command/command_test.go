package command_test

import (
	"bytes"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"foxcross.dev/foxcross/internal/command"
	"foxcross.dev/foxcross/internal/relay/keys"
	"foxcross.dev/foxcross/internal/testing/golden"
	_ "foxcross.dev/foxcross/platform" // registers its driver

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// run runs the entry's command line.
func run(arguments ...string) (code int, out, failures string) {
	var o, f bytes.Buffer
	code = command.Main("foxcross-entry", &command.Entry{}, arguments, &o, &f)
	return code, o.String(), f.String()
}

var _ = Describe("Main", func() {
	It("prints help", func() {
		code, out, _ := run("tree", "--help")
		Expect(code).To(Equal(command.ExitOK))
		golden.Compare(GinkgoT(), "help.golden", out)
	})

	It("prints the recorded help of every command", func() {
		var all strings.Builder
		for _, line := range []string{
			"", "run", "serve", "check", "explain",
			"tree", "tree get", "tree put", "tree set", "tree remove", "tree diff", "tree history", "tree rollback",
			"keys", "keys authority", "keys issue", "keys hash",
		} {
			arguments := append(strings.Fields(line), "--help")
			code, out, _ := run(arguments...)
			Expect(code).To(Equal(command.ExitOK))
			fmt.Fprintf(&all, "$ foxcross-entry %s\n%s\n", strings.Join(arguments, " "), out)
		}
		for _, arguments := range [][]string{{"--help"}, {"run", "--help"}} {
			var out bytes.Buffer
			code := command.Main("foxcross-agent", &command.Agent{}, arguments, &out, &out)
			Expect(code).To(Equal(command.ExitOK))
			fmt.Fprintf(&all, "$ foxcross-agent %s\n%s\n", strings.Join(arguments, " "), out.String())
		}
		golden.Compare(GinkgoT(), "help-all.golden", all.String())
	})

	It("fails on an unknown command", func() {
		code, _, failures := run("trea")
		Expect(code).To(Equal(command.ExitUsage))
		Expect(failures).To(ContainSubstring("trea"))
	})

	It("fails with the code when a settings file is wrong", func() {
		code, _, failures := run("run", "--settings", "/nowhere.json")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(failures).To(ContainSubstring("1701"))
	})

	It("checks the settings of an entry without running it", func() {
		code, out, _ := run("check", "--settings", "../../examples/processes/entry-1.json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring(`"name": "entry-1"`))
		code, _, failures := run("check", "--settings", "/nowhere.json")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(failures).To(ContainSubstring("1701"))
		code, _, _ = run("check")
		Expect(code).To(Equal(command.ExitFailed))
	})

	It("checks the settings that a platform gives", func() {
		GinkgoT().Setenv("FOXCROSS_CONFIG", "../../platform/testdata/settings.json")
		code, out, _ := run("check", "--platform", "fleet")
		Expect(code).To(Equal(command.ExitOK))
		golden.Compare(GinkgoT(), "check.golden", out)
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(`{"nodeName":"a"}`), 0o600)).To(Succeed())
		GinkgoT().Setenv("FOXCROSS_CONFIG", path)
		code, _, failures := run("check", "--platform", "fleet")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(failures).To(ContainSubstring("1703 file_field"))
		Expect(failures).To(ContainSubstring("zone: is missing"))
	})

	It("prints the hash of a key", func() {
		_, out, _ := run("keys", "hash", "gent-key")
		Expect(out).To(Equal("b470a81b6f65cdf47ac2780ef532389b0ac93a5c38354ee7af3772dd38c537d3\n"))
	})

	It("makes keys that trust each other, also while an authority is replaced", func() {
		old := GinkgoT().TempDir()
		fresh := GinkgoT().TempDir()
		for _, f := range []string{old, fresh} {
			code, _, failures := run("keys", "authority", "--folder", f)
			Expect(code).To(Equal(command.ExitOK), failures)
			code, _, failures = run("keys", "issue", "--folder", f, "--name", "p")
			Expect(code).To(Equal(command.ExitOK), failures)
		}
		a, err := os.ReadFile(filepath.Join(old, "authority.crt"))
		Expect(err).NotTo(HaveOccurred())
		b, err := os.ReadFile(filepath.Join(fresh, "authority.crt"))
		Expect(err).NotTo(HaveOccurred())
		both := filepath.Join(old, "both.crt")
		Expect(os.WriteFile(both, append(a, b...), 0o600)).To(Succeed())
		c, err := keys.Files{Authorities: both, Certificate: filepath.Join(old, "p.crt"), Key: filepath.Join(old, "p.key")}.Load()
		Expect(err).NotTo(HaveOccurred())
		for _, f := range []string{old, fresh} {
			own, err := keys.Files{
				Authorities: both,
				Certificate: filepath.Join(f, "p.crt"),
				Key:         filepath.Join(f, "p.key"),
			}.Load()
			Expect(err).NotTo(HaveOccurred())
			_, err = own.Certificates[0].Leaf.Verify(x509.VerifyOptions{Roots: c.RootCAs, DNSName: keys.ServerName})
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
