// Command standins serves stand-ins for the platform, two engines and a plain
// service at the addresses in the files of examples/processes.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/testing/flags"
	"foxcross.dev/foxcross/internal/testing/standin"
)

// options are the command-line flags.
type options struct {
	Members  string `long:"members" default:"examples/processes/members.json" description:"file with the member list"`
	Platform string `long:"platform" default:"127.0.0.1:9000" description:"address of the key-value service"`
	Fast     string `long:"fast" default:"127.0.0.1:9101" description:"address of a new engine"`
	Slow     string `long:"slow" default:"127.0.0.1:9102" description:"address of an old engine"`
	Service  string `long:"service" default:"127.0.0.1:9201" description:"address of a plain service"`
}

func main() {
	var o options
	flags.Parse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	data, err := os.ReadFile(o.Members)
	if err != nil {
		return err
	}
	var members []kv.Member
	if err := json.Unmarshal(data, &members); err != nil {
		return fmt.Errorf("%s: %w", o.Members, err)
	}
	var store standin.Store
	store.SetMembers(members)
	failed := make(chan error)
	for address, h := range map[string]http.Handler{
		o.Platform: store.Handler(),
		o.Fast:     (&standin.Engine{Card: standin.Card{Step: 8 * time.Millisecond}}).Handler(),
		o.Slow:     (&standin.Engine{Card: standin.Card{Step: 20 * time.Millisecond, Batch: 8}}).Handler(),
		o.Service:  &standin.Service{Latency: 5 * time.Millisecond},
	} {
		go func() { failed <- http.ListenAndServe(address, h) }()
		fmt.Println("serving on", address)
	}
	return <-failed
}
