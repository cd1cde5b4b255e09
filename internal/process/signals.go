package process

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns two contexts: stopping is done after the first signal to stop, aborting
// after the second.
func stopSignals() (stopping, aborting context.Context) {
	stopping, cancelStopping := context.WithCancel(context.Background())
	aborting, cancelAborting := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		log.Info("Shutting down gracefully. A second signal stops at once.")
		cancelStopping()
		<-signals
		cancelAborting()
	}()
	return stopping, aborting
}

// dumpStateOnSignal writes the state to standard error at each SIGUSR1, until ctx is done.
func dumpStateOnSignal(ctx context.Context, dump func() any) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				e := json.NewEncoder(os.Stderr)
				e.SetIndent("", "  ")
				if err := e.Encode(dump()); err != nil {
					log.Errorf("The state can't be written: %v.", err)
				}
			}
		}
	}()
}
