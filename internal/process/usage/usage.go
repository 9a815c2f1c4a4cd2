// Package usage measures how much of its host's capacity a daemon uses. It rounds
// the usage to steps, so that other daemons rarely need an update. A rise counts at
// once, a fall only after it has lasted for some time.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	m := &usage.Monitor{Cores: 0.4, BytesPerSecond: 125e6}
//	busy := m.Measure(now, processorTime, transferredBytes)
//	table.SetBusy(now, busy)
package usage

import (
	"math"
	"time"
)

const (
	// unitsPerCore is the number of units of capacity in a core.
	unitsPerCore = 1000
	// steps is the number of steps that the capacity is divided into.
	steps = 8
	// minInterval is the shortest interval of a measurement.
	minInterval = time.Second
	// fallDelay is how long the usage has to be lower before the step falls.
	fallDelay = 5 * time.Second
)

// Monitor measures the usage. Exported fields are set before Measure is called.
type Monitor struct {
	// Cores is the number of cores that the daemon may use, such as 0.4.
	Cores float64
	// BytesPerSecond is the bandwidth of the host's link, or zero if it is unknown.
	BytesPerSecond float64

	measuredAt       time.Time
	processorTime    time.Duration
	transferredBytes int64
	step             int
	// reachedAt is when the usage last reached the current step.
	reachedAt time.Time
}

// Capacity returns the capacity of the host in thousandths of a core.
func (m *Monitor) Capacity() uint32 { return uint32(math.Round(m.Cores * unitsPerCore)) }

// Measure takes the processor time that the process has used and the bytes that it
// has sent and received since its start. It returns the capacity in use, in thousandths
// of a core.
func (m *Monitor) Measure(now time.Time, processor time.Duration, bytes int64) uint32 {
	elapsed := now.Sub(m.measuredAt)
	switch {
	case m.measuredAt.IsZero():
		m.measuredAt, m.processorTime, m.transferredBytes = now, processor, bytes
	case elapsed >= minInterval:
		usage := 0.0
		if m.Cores > 0 {
			usage = (processor - m.processorTime).Seconds() / elapsed.Seconds() / m.Cores
		}
		if m.BytesPerSecond > 0 {
			usage = max(usage, float64(bytes-m.transferredBytes)/elapsed.Seconds()/m.BytesPerSecond)
		}
		m.measuredAt, m.processorTime, m.transferredBytes = now, processor, bytes
		m.setStep(now, int(math.Round(usage*steps)))
	}
	return uint32(math.Round(float64(m.step) / steps * m.Cores * unitsPerCore))
}

func (m *Monitor) setStep(now time.Time, step int) {
	step = min(step, steps)
	switch {
	case step >= m.step:
		m.step, m.reachedAt = step, now
	case now.Sub(m.reachedAt) >= fallDelay:
		m.step, m.reachedAt = step, now
	}
}
