package placement

import (
	"math"
	"time"
)

// SpeedSnapshot is the learned speed of an engine whose service learns them.
type SpeedSnapshot struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	StepMS float64 // without prefill and other requests
}

// StepSnapshot is what is learned of the steps of a service's engines.
type StepSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Growth   [5]float64 // weight and sums of the fit
	StepMS   float64    // at a slowdown of 1
	Piece    float64    // as a multiple of a step
	Spread   []float64
	Foreseen float64
	Missed   float64
}

// speedSnapshots returns what is known of the speeds of engines and of their steps.
func (t *Table) speedSnapshots() ([]SpeedSnapshot, []StepSnapshot) {
	var speeds []SpeedSnapshot
	for id, e := range t.endpoints {
		if e.speed.stepMS > 0 {
			speeds = append(speeds, SpeedSnapshot{ID: id, StepMS: e.speed.stepMS})
		}
	}
	var steps []StepSnapshot
	for name, s := range t.services {
		if s.steps.steps == 0 {
			continue
		}
		g := s.steps.growth
		steps = append(steps, StepSnapshot{
			Name: name, Growth: [5]float64{g.weight, g.sumX, g.sumY, g.sumXX, g.sumXY}, StepMS: math.Exp(s.steps.logStepMS), Piece: s.steps.pieceSteps,
			Spread: s.steps.spread.weights[:], Foreseen: s.steps.calibration.foreseen, Missed: s.steps.calibration.missed,
		})
	}
	return speeds, steps
}

// restoreSpeeds merges the speeds of another table. Own observations take precedence.
func (t *Table) restoreSpeeds(now time.Time, s Snapshot) {
	for _, x := range s.Steps {
		if known := t.services[x.Name]; known != nil && known.EngineSpeeds && known.steps.steps == 0 {
			known.steps.restore(x)
		}
	}
	for _, x := range s.Speeds {
		e := t.endpoints[x.ID]
		if e == nil || !t.service(e.Service).EngineSpeeds {
			continue
		}
		if x.StepMS > 0 && !e.speed.decode.known() {
			e.speed.stepMS = x.StepMS
			e.speed.decode.fill(now, x.StepMS)
		}
	}
}

// restore sets the state of another table.
func (s *stepTimes) restore(x StepSnapshot) {
	if x.StepMS <= 0 || x.Growth[0] <= 0 {
		return
	}
	s.steps = minObservations
	s.logStepMS = math.Log(x.StepMS)
	s.growth = prefillModel{weight: x.Growth[0], sumX: x.Growth[1], sumY: x.Growth[2], sumXX: x.Growth[3], sumXY: x.Growth[4]}
	s.pieceSteps = max(x.Piece, 0)
	s.calibration = calibration{foreseen: max(x.Foreseen, 0), missed: max(x.Missed, 0)}
	s.spread = spread{}
	for n, w := range x.Spread[:min(len(x.Spread), spreadBuckets)] {
		s.spread.weights[n] = max(w, 0)
		s.spread.total += s.spread.weights[n]
	}
}
