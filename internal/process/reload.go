package process

import (
	"context"
	"os"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/gateway"
)

// reloadInterval is the interval at which the settings file is read again. The file may change
// without a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings file until ctx is done. Only bounds are applied while
// the process runs. An invalid file changes nothing.
func watchSettings(ctx context.Context, reloadSignals <-chan os.Signal, g *gateway.Gateway, platform driver.Driver, current driver.Process) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			log.Info("Reloading the settings file after SIGHUP.")
		case <-ticker.C:
		}
		updated, err := platform.Process()
		if err != nil {
			log.With("reason", err.Error()).Errorf("The settings file is invalid; the current settings stay active.")
			continue
		}
		if changes := current.Changes(updated); len(changes) > 0 {
			log.With("changes", changes).Info("The settings file changed.")
		}
		if current.Bounds != updated.Bounds {
			g.SetBounds(updated.Bounds)
		}
		current = updated
	}
}
