package usage

import (
	"testing"
	"time"
)

func TestMeasure(t *testing.T) {
	m := &Monitor{Cores: 0.8, BytesPerSecond: 1000}
	if m.Capacity() != 800 {
		t.Errorf("capacity %d", m.Capacity())
	}
	now := time.Unix(1000, 0)
	var processor time.Duration
	var bytes int64
	for i, step := range []struct {
		processor time.Duration
		bytes     int64
		want      uint32
	}{
		{0, 0, 0},
		{400 * time.Millisecond, 0, 400},
		{0, 1000, 800},
		{40 * time.Millisecond, 0, 800},
		{40 * time.Millisecond, 0, 800},
		{40 * time.Millisecond, 0, 800},
		{40 * time.Millisecond, 0, 800},
		{240 * time.Millisecond, 0, 200},
		{0, 5000, 800},
	} {
		processor += step.processor
		bytes += step.bytes
		if got := m.Measure(now, processor, bytes); got != step.want {
			t.Errorf("step %d: %d, want %d", i, got, step.want)
		}
		if got := m.Measure(now.Add(100*time.Millisecond), processor, bytes); got != step.want {
			t.Errorf("step %d, again: %d, want %d", i, got, step.want)
		}
		now = now.Add(time.Second)
	}
}
