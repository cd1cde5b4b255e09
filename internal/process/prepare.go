package process

import (
	"crypto/tls"
	"os"

	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/relay/config"
	"foxcross.dev/foxcross/internal/relay/keys"
)

// defaultLevel is the log level if the settings name none.
const defaultLevel = "info"

// setUp sets up the log of a process of relay mode and loads its certificates.
func setUp(c config.Log, f keys.Files) (*tls.Config, error) {
	level := c.Level
	if level == "" {
		level = defaultLevel
	}
	if err := logs.Setup(os.Stderr, c.Format, level); err != nil {
		return nil, err
	}
	return f.Load()
}
