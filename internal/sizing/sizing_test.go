package sizing

import (
	"math"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The page is generated from the inputs; run with -update to write it.
func TestPageIsUpToDate(t *testing.T) {
	inputs, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	page, err := inputs.Page()
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "CAPACITY", []byte(page))
}

func TestLeastSquares(t *testing.T) {
	tests := []struct {
		name   string
		xs, ys []float64
		want   Fit
	}{
		{"a line", []float64{1, 2, 4}, []float64{5, 7, 11}, Fit{Base: 3, Slope: 2}},
		{"flat", []float64{1, 2, 3}, []float64{4, 4, 4}, Fit{Base: 4}},
		{"off the line", []float64{0, 1, 2}, []float64{0, 3, 0}, Fit{Base: 1, Error: 2.0 / 3}},
	}
	for _, tt := range tests {
		got := leastSquares(tt.xs, tt.ys)
		if math.Abs(got.Base-tt.want.Base)+math.Abs(got.Slope-tt.want.Slope)+math.Abs(got.Error-tt.want.Error) > 1e-9 {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 0.00123456: "0.00123", 12.345: "12.3", 598000000: "598,000,000", 1234.5: "1,230"} {
		if got := formatNumber(value); got != want {
			t.Errorf("%v is formatted as %s, want %s", value, got, want)
		}
	}
}
