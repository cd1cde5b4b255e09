// Package entryprogram lets a test run entries as separate processes without building
// a program: the test binary executes itself.
package entryprogram

import (
	"os"
	"os/exec"
	"testing"
)

// entryVariable is the environment variable that makes the test binary run an entry.
const entryVariable = "FOXCROSS_TEST_ENTRY"

// Main is called by TestMain. It runs the tests or, in a process that Command has
// started, an entry.
func Main(m *testing.M, entry func() error) {
	if os.Getenv(entryVariable) == "" {
		os.Exit(m.Run())
	}
	if err := entry(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n") // no other place to report it
		os.Exit(1)
	}
}

// Command returns a command that runs an entry with a settings file.
func Command(settings string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), entryVariable+"=1", "FOXCROSS_CONFIG="+settings)
	return c
}
