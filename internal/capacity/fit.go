package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement Y at the size X.
type Point struct {
	X, Y float64
}

// Line is a fitted line Y = Intercept + Slope*X.
type Line struct {
	Intercept, Slope float64
	R2               float64 // coefficient of determination, unweighted
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the line that minimizes the sum of the squared relative errors, so
// that small sizes weigh as much as large ones. Every Y must be positive, and
// there must be at least two distinct X.
func Fit(points []Point) Line {
	var sumW, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		w := 1 / (p.Y * p.Y)
		sumW += w
		sumX += w * p.X
		sumY += w * p.Y
		sumXX += w * p.X * p.X
		sumXY += w * p.X * p.Y
	}
	l := Line{Slope: (sumW*sumXY - sumX*sumY) / (sumW*sumXX - sumX*sumX)}
	l.Intercept = (sumY - l.Slope*sumX) / sumW
	var mean, total, residual float64
	for _, p := range points {
		mean += p.Y / float64(len(points))
	}
	for _, p := range points {
		total += (p.Y - mean) * (p.Y - mean)
		residual += (p.Y - l.At(p.X)) * (p.Y - l.At(p.X))
	}
	l.R2 = 1
	if total > 0 {
		l.R2 = 1 - residual/total
	}
	return l
}

// Series holds the measurements of one quantity.
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
		fmt.Fprintf(&out, "; fit %.4g + %.4g x, R2 %.4f", l.Intercept, l.Slope, l.R2)
	}
	return out.String()
}
