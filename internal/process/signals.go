package process

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns a context that ends with the first signal to stop and one
// that ends with the second.
func stopSignals() (first, second context.Context) {
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		log.Info("Stopping cleanly. A second signal stops at once.")
		cancelFirst()
		<-signals
		cancelSecond()
	}()
	return first, second
}

// dumpOnSignal writes the state to standard error on SIGUSR1.
func dumpOnSignal(ctx context.Context, dump func() any) {
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
