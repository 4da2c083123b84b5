package capacity_test

import (
	"math"
	"testing"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/matryer/is"
)

// TestFitExactLine guards against a fit that doesn't reproduce an exact line,
// which would make every extrapolated figure wrong.
func TestFitExactLine(t *testing.T) {
	is := is.New(t)
	var s capacity.Series
	for _, x := range []float64{1, 10, 100, 1000} {
		s.Add(x, 5+0.25*x)
	}
	l := capacity.Fit(s.Points)
	is.True(math.Abs(l.Intercept-5) < 1e-6)
	is.True(math.Abs(l.Slope-0.25) < 1e-9)
	is.True(l.R2 > 0.999999)
}

// TestFleetState guards against a synthetic state that a real installation can't
// reach: all groups must be steady, and the owner of every server must be in the
// server's data centre.
func TestFleetState(t *testing.T) {
	is := is.New(t)
	f := capacity.NewFleet(50)
	m := control.NewMachine()
	_, err := f.Load(m.Apply)
	is.NoErr(err)
	v := m.View()
	is.Equal(len(v.Groups), 50)
	is.Equal(len(v.Leases), 150)
	for _, g := range v.Groups {
		is.Equal(g.Phase, controlrpc.PhaseSteady)
		is.Equal(len(g.Members), 3)
	}
	for id, l := range v.Leases {
		is.Equal(v.Hosts[l.Host].DataCentre, v.Servers[id].DataCentre)
	}
}
