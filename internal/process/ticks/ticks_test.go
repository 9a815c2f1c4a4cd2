package ticks

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/wall"
)

func TestAt(t *testing.T) {
	k := Ticks{Width: 100 * time.Millisecond}
	first := time.Now()
	first = first.Add(first.Truncate(k.Width).Sub(first.Round(0)))
	number := first.UnixNano() / int64(k.Width)
	for _, tt := range []struct {
		name string
		now  time.Time
		want int64
	}{
		{"first", first, 0},
		{"within the interval", first.Add(99 * time.Millisecond), 0},
		{"next", first.Add(100 * time.Millisecond), 1},
		{"much later", first.Add(time.Hour), 36000},
		{"wall clock jumped forward", wall.Step(t, first.Add(100*time.Millisecond), time.Hour), 1},
		{"wall clock jumped back", wall.Step(t, first.Add(100*time.Millisecond), -time.Hour), 1},
		{"earlier", first.Add(-time.Second), -10},
	} {
		if got := k.At(tt.now) - number; got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
