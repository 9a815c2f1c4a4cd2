package sizing

import (
	_ "embed"
	"math"
	"strconv"
	"strings"
	"text/template"

	"gopkg.in/ini.v1"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

//go:embed inputs.ini
var inputsFile []byte

//go:embed page.md.tmpl
var pageTemplate string

// Kind classifies an Error.
type Kind string

// KindInvalid means that the inputs or the page template are invalid.
const KindInvalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Inputs holds the sizes and the measurements.
type Inputs struct {
	file *ini.File
}

// Load reads the inputs.
func Load() (*Inputs, error) {
	file, err := ini.Load(inputsFile)
	if err != nil {
		return nil, &Error{Op: "load inputs", Kind: KindInvalid, Err: err}
	}
	return &Inputs{file: file}, nil
}

// Page executes the page template. A name in the template that the inputs do not
// define is an error.
func (n *Inputs) Page() (string, error) {
	t, err := template.New("page").Funcs(template.FuncMap{
		"size": n.size, "measured": n.measured, "fit": n.fit, "points": n.points,
		"add": func(a, b float64) float64 { return a + b }, "sub": func(a, b float64) float64 { return a - b },
		"mul": func(a, b float64) float64 { return a * b }, "div": func(a, b float64) float64 { return a / b },
		"pow": math.Pow, "sqrt": math.Sqrt, "ceil": math.Ceil, "log": math.Log,
		"n": formatNumber,
	}).Parse(pageTemplate)
	if err != nil {
		return "", &Error{Op: "read page", Kind: KindInvalid, Err: err}
	}
	var out strings.Builder
	if err := t.Execute(&out, nil); err != nil {
		return "", &Error{Op: "fill page", Kind: KindInvalid, Err: err}
	}
	return out.String(), nil
}

func (n *Inputs) number(section, name string) (float64, error) {
	key, err := n.file.Section(section).GetKey(name)
	if err != nil {
		return 0, err
	}
	return key.Float64()
}

func (n *Inputs) size(name string) (float64, error) { return n.number("Size", name) }

func (n *Inputs) measured(name string) (float64, error) { return n.number("Measured", name) }

// points returns measured points as "size: value" for a table.
func (n *Inputs) points(name string) (string, error) {
	key, err := n.file.Section("Measured").GetKey(name)
	if err != nil {
		return "", err
	}
	return strings.ReplaceAll(key.String(), ":", ": "), nil
}

// Fit is a straight line through measured points.
type Fit struct {
	Base, Slope float64
	// Error is the maximum distance of a point from the line, as a share of the
	// maximum value of the points.
	Error float64
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// fit returns the least-squares line through the points of a measurement.
func (n *Inputs) fit(name string) (Fit, error) {
	key, err := n.file.Section("Measured").GetKey(name)
	if err != nil {
		return Fit{}, err
	}
	var xs, ys []float64
	for _, pair := range key.Strings(",") {
		left, right, _ := strings.Cut(pair, ":")
		x, errX := strconv.ParseFloat(left, 64)
		y, errY := strconv.ParseFloat(right, 64)
		if errX != nil || errY != nil {
			return Fit{}, fault.Causef("%s: %q is not size:value", name, pair)
		}
		xs, ys = append(xs, x), append(ys, y)
	}
	return leastSquares(xs, ys), nil
}

func leastSquares(xs, ys []float64) Fit {
	var sumX, sumY, sumXX, sumXY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
	}
	count := float64(len(xs))
	f := Fit{}
	f.Slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	f.Base = (sumY - f.Slope*sumX) / count
	maxValue, maxDeviation := 0.0, 0.0
	for i := range xs {
		maxValue = max(maxValue, math.Abs(ys[i]))
		maxDeviation = max(maxDeviation, math.Abs(ys[i]-f.At(xs[i])))
	}
	f.Error = maxDeviation / maxValue
	return f
}

// formatNumber formats a number with three significant digits.
func formatNumber(value float64) string {
	switch {
	case value == 0:
		return "0"
	case math.Abs(value) >= 1000:
		return groupThousands(strconv.FormatFloat(roundToThreeDigits(value), 'f', 0, 64))
	}
	return strconv.FormatFloat(roundToThreeDigits(value), 'f', -1, 64)
}

func roundToThreeDigits(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', 3, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}

// groupThousands inserts commas as thousands separators.
func groupThousands(digits string) string {
	for at := len(digits) - 3; at > 0; at -= 3 {
		digits = digits[:at] + "," + digits[at:]
	}
	return digits
}
