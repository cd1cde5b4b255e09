package placement

import (
	"math"
	"time"
)

const (
	demandLife     = 6 * time.Second // time constant of the demand
	poolHysteresis = 0.8             // endpoints by which the pool's size must be off
	restLoad       = 0.4             // share of its time that an endpoint may read short prompts beside running streams
	longLoad       = 0.8             // share of its time that an endpoint of the pool may read
	heavyShare     = 0.5             // of the shortest pause allowed, beyond which a prompt is long
)

// demand is the reading time asked for of a service, for long prompts and for
// the rest, decayed. All entries hear of all placements and so come to about
// the same size of the pool.
type demand struct {
	long, rest float64 // ms
	at         time.Time
	pool       int
}

func (d *demand) add(now time.Time, read float64, long bool) {
	if !d.at.IsZero() {
		keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandLife))
		d.long *= keep
		d.rest *= keep
	}
	d.at = now
	if long {
		d.long += read
	} else {
		d.rest += read
	}
}

// size returns how many of the endpoints long prompts are kept to: what the
// others leave, or their share of the whole where there is enough for both.
func (d *demand) size(endpoints int) int {
	if d.long <= 0 || endpoints < 2 {
		d.pool = 0
		return 0
	}
	life := milliseconds(demandLife)
	rest := d.rest / life / restLoad
	long := d.long / life / longLoad
	wanted := float64(endpoints) - rest
	if total := rest + long; total < float64(endpoints) {
		wanted = float64(endpoints) * long / total
	}
	if math.Abs(wanted-float64(d.pool)) > poolHysteresis || d.pool == 0 {
		d.pool = int(math.Round(wanted))
	}
	d.pool = min(max(d.pool, 1), endpoints-1)
	return d.pool
}

// heavy tells whether reading a prompt takes so long that it breaks the
// shortest pause allowed at the service.
func (t *Table) heavy(s *service, read float64) bool {
	return s.Pause > 0 && read > heavyShare*milliseconds(s.Pause)
}
