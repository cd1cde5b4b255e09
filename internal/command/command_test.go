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

// run runs foxcross-entry with the arguments.
func run(arguments ...string) (code int, stdout, stderr string) {
	var outBuffer, errBuffer bytes.Buffer
	code = command.Main("foxcross-entry", &command.Entry{}, arguments, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

var _ = Describe("Main", func() {
	It("prints help", func() {
		code, stdout, _ := run("tree", "--help")
		Expect(code).To(Equal(command.ExitOK))
		golden.Compare(GinkgoT(), "help.golden", stdout)
	})

	It("prints the recorded help of every command", func() {
		var all strings.Builder
		for _, line := range []string{
			"", "run", "serve", "check", "explain",
			"tree", "tree get", "tree put", "tree set", "tree remove", "tree diff", "tree history", "tree rollback",
			"keys", "keys authority", "keys issue", "keys hash",
		} {
			arguments := append(strings.Fields(line), "--help")
			code, stdout, _ := run(arguments...)
			Expect(code).To(Equal(command.ExitOK))
			fmt.Fprintf(&all, "$ foxcross-entry %s\n%s\n", strings.Join(arguments, " "), stdout)
		}
		for _, arguments := range [][]string{{"--help"}, {"run", "--help"}} {
			var stdout bytes.Buffer
			code := command.Main("foxcross-agent", &command.Agent{}, arguments, &stdout, &stdout)
			Expect(code).To(Equal(command.ExitOK))
			fmt.Fprintf(&all, "$ foxcross-agent %s\n%s\n", strings.Join(arguments, " "), stdout.String())
		}
		golden.Compare(GinkgoT(), "help-all.golden", all.String())
	})

	It("fails on an unknown command", func() {
		code, _, stderr := run("trea")
		Expect(code).To(Equal(command.ExitUsage))
		Expect(stderr).To(ContainSubstring("trea"))
	})

	It("fails with the numbered code if a settings file can't be read", func() {
		code, _, stderr := run("run", "--settings", "/nowhere.json")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(stderr).To(ContainSubstring("1701"))
	})

	It("checks the settings of an entry without running it", func() {
		code, stdout, _ := run("check", "--settings", "../../examples/processes/entry-1.json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(stdout).To(ContainSubstring(`"name": "entry-1"`))
		code, _, stderr := run("check", "--settings", "/nowhere.json")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(stderr).To(ContainSubstring("1701"))
		code, _, _ = run("check")
		Expect(code).To(Equal(command.ExitFailed))
	})

	It("checks the settings from a platform", func() {
		GinkgoT().Setenv("FOXCROSS_CONFIG", "../../platform/testdata/settings.json")
		code, stdout, _ := run("check", "--platform", "fleet")
		Expect(code).To(Equal(command.ExitOK))
		golden.Compare(GinkgoT(), "check.golden", stdout)
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(`{"nodeName":"a"}`), 0o600)).To(Succeed())
		GinkgoT().Setenv("FOXCROSS_CONFIG", path)
		code, _, stderr := run("check", "--platform", "fleet")
		Expect(code).To(Equal(command.ExitFailed))
		Expect(stderr).To(ContainSubstring("1703 file_field"))
		Expect(stderr).To(ContainSubstring("zone: is missing"))
	})

	It("prints the hash of a key", func() {
		_, stdout, _ := run("keys", "hash", "gent-key")
		Expect(stdout).To(Equal("b470a81b6f65cdf47ac2780ef532389b0ac93a5c38354ee7af3772dd38c537d3\n"))
	})

	It("issues certificates that verify each other during the replacement of an authority", func() {
		oldDir := GinkgoT().TempDir()
		newDir := GinkgoT().TempDir()
		for _, dir := range []string{oldDir, newDir} {
			code, _, stderr := run("keys", "authority", "--folder", dir)
			Expect(code).To(Equal(command.ExitOK), stderr)
			code, _, stderr = run("keys", "issue", "--folder", dir, "--name", "p")
			Expect(code).To(Equal(command.ExitOK), stderr)
		}
		oldAuthority, err := os.ReadFile(filepath.Join(oldDir, "authority.crt"))
		Expect(err).NotTo(HaveOccurred())
		newAuthority, err := os.ReadFile(filepath.Join(newDir, "authority.crt"))
		Expect(err).NotTo(HaveOccurred())
		both := filepath.Join(oldDir, "both.crt")
		Expect(os.WriteFile(both, append(oldAuthority, newAuthority...), 0o600)).To(Succeed())
		config, err := keys.Files{Authorities: both, Certificate: filepath.Join(oldDir, "p.crt"), Key: filepath.Join(oldDir, "p.key")}.Load()
		Expect(err).NotTo(HaveOccurred())
		for _, dir := range []string{oldDir, newDir} {
			issued, err := keys.Files{
				Authorities: both,
				Certificate: filepath.Join(dir, "p.crt"),
				Key:         filepath.Join(dir, "p.key"),
			}.Load()
			Expect(err).NotTo(HaveOccurred())
			_, err = issued.Certificates[0].Leaf.Verify(x509.VerifyOptions{Roots: config.RootCAs, DNSName: keys.ServerName})
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
