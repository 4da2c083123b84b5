package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement at one size.
type Point struct {
	X, Y float64
}

// Line is a fitted line Y = Base + Slope*X.
type Line struct {
	Base, Slope float64
	R2          float64 // share of the variance that the line explains
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the line with the least squares of the relative errors, so that
// the small sizes count as much as the large ones. Every Y must be positive,
// and there must be at least two different X.
func Fit(points []Point) Line {
	var sw, sx, sy, sxx, sxy float64
	for _, p := range points {
		w := 1 / (p.Y * p.Y)
		sw += w
		sx += w * p.X
		sy += w * p.Y
		sxx += w * p.X * p.X
		sxy += w * p.X * p.Y
	}
	l := Line{Slope: (sw*sxy - sx*sy) / (sw*sxx - sx*sx)}
	l.Base = (sy - l.Slope*sx) / sw
	var mean, total, rest float64
	for _, p := range points {
		mean += p.Y / float64(len(points))
	}
	for _, p := range points {
		total += (p.Y - mean) * (p.Y - mean)
		rest += (p.Y - l.At(p.X)) * (p.Y - l.At(p.X))
	}
	l.R2 = 1
	if total > 0 {
		l.R2 = 1 - rest/total
	}
	return l
}

// Series is a list of measurements of one quantity.
type Series struct {
	Name   string
	XUnit  string
	YUnit  string
	Points []Point
}

// Add appends a measurement.
func (s *Series) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// String returns the points and the fitted line.
func (s *Series) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s [%s by %s]:", s.Name, s.YUnit, s.XUnit)
	for _, p := range s.Points {
		fmt.Fprintf(&out, " %g=%.5g", p.X, p.Y)
	}
	if l := Fit(s.Points); !math.IsNaN(l.Slope) {
		fmt.Fprintf(&out, "; fit %.4g + %.4g x, R2 %.4f", l.Base, l.Slope, l.R2)
	}
	return out.String()
}
