package pauses

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	period      = 6 * time.Second
	pauseLength = 250 * time.Millisecond
)

// simulate sends requests to targets that pause, each with its own phase, every
// period or at irregular times. For the last third of the time it returns how many
// requests met a predicted and an unpredicted pause, and how many were sent outside
// a pause although one was predicted.
func simulate(seconds int, regular bool) (predicted, unpredicted, falseAlarms int) {
	random := rand.New(rand.NewPCG(5, 5))
	estimator := NewPeriodEstimator()
	const targets = 12
	predictors := make([]Predictor, targets)
	pauses := make([][]time.Time, targets)
	for i := range predictors {
		predictors[i].Estimator = estimator
		at := start.Add(time.Duration(random.Int64N(int64(period))))
		for at.Before(start.Add(time.Duration(seconds) * time.Second)) {
			pauses[i] = append(pauses[i], at)
			if regular {
				at = at.Add(period)
			} else {
				at = at.Add(time.Duration(random.Int64N(int64(2 * period))))
			}
		}
	}
	// pending are answers in flight, in order of their arrival.
	type answer struct {
		at    time.Time
		delay time.Duration
	}
	pending := make([][]answer, targets)
	for tick := range seconds * 1000 / 20 {
		now := start.Add(time.Duration(tick) * 20 * time.Millisecond)
		for i := range predictors {
			for len(pending[i]) > 0 && !pending[i][0].at.After(now) {
				predictors[i].RecordPause(pending[i][0].at, pending[i][0].delay)
				pending[i] = pending[i][1:]
			}
			if random.IntN(4) != 0 {
				continue
			}
			_, expected := predictors[i].Paused(now, 5*time.Millisecond)
			delay := time.Duration(0)
			for _, p := range pauses[i] {
				if !now.Before(p) && now.Before(p.Add(pauseLength)) {
					delay = p.Add(pauseLength).Sub(now)
				}
			}
			measured := tick > seconds*1000/20*2/3
			switch {
			case delay > 0 && measured && expected:
				predicted++
			case delay > 0 && measured:
				unpredicted++
			case measured && expected:
				falseAlarms++
			}
			if delay > 0 {
				pending[i] = append(pending[i], answer{at: now.Add(delay + time.Duration(random.Int64N(int64(12*time.Millisecond)))), delay: delay})
			} else {
				predictors[i].RecordPromptAnswer(now)
			}
		}
	}
	return predicted, unpredicted, falseAlarms
}

func TestRegularPausesArePredicted(t *testing.T) {
	predicted, unpredicted, _ := simulate(36, true)
	if predicted < 9*unpredicted {
		t.Errorf("%d requests met a predicted pause, %d an unpredicted one", predicted, unpredicted)
	}
}

// Pauses at irregular times must not keep many requests away from a target.
func TestIrregularPausesAreNotPredicted(t *testing.T) {
	predicted, unpredicted, falseAlarms := simulate(36, false)
	if total := predicted + unpredicted; falseAlarms > 4*total {
		t.Errorf("%d false predictions, %d requests met a pause", falseAlarms, total)
	}
}

func TestAnswersDuringAPauseRefuteIt(t *testing.T) {
	estimator := NewPeriodEstimator()
	predictors := make([]Predictor, 4)
	for i := range predictors {
		predictors[i].Estimator = estimator
		for round := range 3 {
			predictors[i].RecordPause(start.Add(time.Duration(i)*time.Second+time.Duration(round)*period), pauseLength)
		}
	}
	inside := start.Add(3*period - pauseLength/2)
	if _, paused := predictors[0].Paused(inside, 0); !paused {
		t.Fatal("the pause is not predicted")
	}
	for range maxMisses {
		predictors[0].RecordPromptAnswer(inside)
	}
	if _, paused := predictors[0].Paused(inside.Add(period), 0); paused {
		t.Error("the pause is still predicted")
	}
}
