package command

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"foxcross.dev/foxcross/internal/relay/keys"

	"foxcross.dev/coord/settings"
)

const (
	keyMode         = 0o600
	certificateMode = 0o644
	directoryMode   = 0o700
	day             = 24 * time.Hour
)

// Keys holds the commands that create certificates and keys.
type Keys struct {
	Authority MakeAuthority `command:"authority" description:"make an authority that signs certificates"`
	Issue     IssuePair     `command:"issue" description:"make a process's certificate and key"`
	Hash      HashKey       `command:"hash" description:"print the hash of a bearer key, as settings hold it"`
}

// MakeAuthority creates a certificate authority.
type MakeAuthority struct {
	Folder string `long:"folder" default:"keys" description:"where the files go"`
	Days   int    `long:"days" default:"3650" description:"how long it is valid"`
}

// Execute runs the command.
func (c *MakeAuthority) Execute([]string) error {
	a, err := keys.NewAuthority(time.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return err
	}
	p, err := a.KeyPair()
	if err != nil {
		return err
	}
	return writePair(c.Folder, "authority", p)
}

// IssuePair creates a certificate and its key for a process, signed by the authority in the folder.
type IssuePair struct {
	Folder string `long:"folder" default:"keys" description:"where the authority is and the files go"`
	Name   string `long:"name" required:"yes" description:"name of the process"`
	Days   int    `long:"days" default:"365" description:"how long it is valid"`
}

// Execute runs the command.
func (c *IssuePair) Execute([]string) error {
	certificate, err := os.ReadFile(filepath.Join(c.Folder, "authority.crt"))
	if err != nil {
		return err
	}
	key, err := os.ReadFile(filepath.Join(c.Folder, "authority.key"))
	if err != nil {
		return err
	}
	a, err := keys.LoadAuthority(keys.KeyPair{Certificate: certificate, Key: key})
	if err != nil {
		return err
	}
	p, err := a.Issue(c.Name, time.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return err
	}
	return writePair(c.Folder, c.Name, p)
}

func writePair(folder, name string, p keys.KeyPair) error {
	if err := os.MkdirAll(folder, directoryMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".crt"), p.Certificate, certificateMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name+".key"), p.Key, keyMode)
}

// HashKey prints the hash of a bearer key, as stored in settings.
type HashKey struct {
	Arguments struct {
		Key string `positional-arg-name:"key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *HashKey) Execute([]string) error {
	_, err := fmt.Fprintln(output, settings.HashKey(c.Arguments.Key))
	return err
}
