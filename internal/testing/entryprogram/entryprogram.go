// Package entryprogram lets a test run entries as programs of their own, without
// building one: the test's program starts itself again.
package entryprogram

import (
	"os"
	"os/exec"
	"testing"
)

// variable makes the test's own program an entry.
const variable = "FOXCROSS_TEST_ENTRY"

// Main is to be called by TestMain. It runs the tests or, in a program that Command
// has started, an entry.
func Main(m *testing.M, entry func() error) {
	if os.Getenv(variable) == "" {
		os.Exit(m.Run())
	}
	if err := entry(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n") // there is nowhere else to say it
		os.Exit(1)
	}
}

// Command returns a command that runs an entry with a settings file.
func Command(settings string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), variable+"=1", "FOXCROSS_CONFIG="+settings)
	return c
}
