package galenafleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// play runs two services whose peaks of 4 s follow each other.
func play(f *forecaster, from, until time.Duration) {
	for d := from; d < until; d += 200 * time.Millisecond {
		load := [2]float64{0.2, 0.2}
		if k := int(d / (4 * time.Second)); k > 0 {
			load[k%2] = 12
		}
		f.observe("a", load[0], int(load[0]), at.Add(d))
		f.observe("b", load[1], int(load[1]), at.Add(d))
	}
}

// Guards against missing a recurring peak, and against keeping machines for it
// all the time.
func TestRecurringPeakIsExpected(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	play(f, 0, 18*time.Second) // b from 4 s and 12 s, a from 8 s and 16 s
	_, began := f.last()
	is.True(began)
	next := at.Add(20 * time.Second)
	is.Equal(f.expected("b", next.Add(-moveAhead-time.Second)), 0)
	is.Equal(f.expected("b", next.Add(-moveAhead+100*time.Millisecond)), 12)
	is.Equal(f.expected("a", next.Add(-moveAhead+100*time.Millisecond)), 0)
	is.Equal(f.expected("b", next.Add(peakGrace+time.Second)), 0) // it did not come
}

// Guards against forecasts from peaks that come at no regular time.
func TestIrregularPeaksAreNotExpected(t *testing.T) {
	is := is.New(t)
	var past []Onset
	for _, s := range []int{0, 3, 20, 22} {
		past = append(past, Onset{Service: "a", At: at.Add(time.Duration(s) * time.Second), Machines: 9})
	}
	f := newForecaster(past)
	for d := 22; d < 60; d++ {
		is.Equal(f.expected("a", at.Add(time.Duration(d)*time.Second)), 0)
	}
}

// Guards against forgetting the peaks at a change of owner.
func TestSuccessorExpectsThePeak(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	play(f, 0, 18*time.Second)
	var past []Onset
	for _, name := range sortedNames(f.services) {
		past = append(past, f.services[name].onsets...)
	}
	g := newForecaster(past)
	is.Equal(g.expected("b", at.Add(19*time.Second)), 12)
}

// Guards against taking a peak that goes on through a change of owner for a
// second one.
func TestPeakThatGoesOnIsOnePeak(t *testing.T) {
	is := is.New(t)
	g := newForecaster([]Onset{{Service: "a", At: at, Machines: 12}})
	for d := time.Second; d < 4*time.Second; d += 100 * time.Millisecond {
		g.observe("a", 12, 12, at.Add(d))
	}
	is.Equal(len(g.services["a"].onsets), 1)
}

// Guards against missing a peak that begins while no owner is in office, which
// would upset the order of turns.
func TestPeakBetweenTwoOwnersIsNoted(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	play(f, 0, 18*time.Second)
	var past []Onset
	for _, name := range sortedNames(f.services) {
		past = append(past, f.services[name].onsets...)
	}
	g := newForecaster(past) // b is calm since 16 s, a is in its peak
	g.observe("a", 12, 12, at.Add(21*time.Second))
	noted := g.observe("b", 12, 12, at.Add(21*time.Second))
	is.True(noted != nil)
	is.Equal(noted.Service, galenahead.ServiceName("b"))
	is.True(g.observe("c", 12, 12, at.Add(21*time.Second)) != nil) // its first peak
	is.Equal(len(g.services["a"].onsets), len(f.services["a"].onsets))
}

// Guards against a peak that is noted late because work had piled up in an
// earlier one.
func TestBacklogOfAPeakDoesNotHideTheNext(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	is.True(f.observe("a", 60, 12, at) != nil) // much waits, twelve machines are busy
	for d := time.Duration(0); d < 2*calmTime; d += 100 * time.Millisecond {
		f.observe("a", 0.2, 0, at.Add(time.Second+d))
	}
	is.True(f.observe("a", 3, 3, at.Add(5*time.Second)) == nil) // a few jobs
	is.True(f.observe("a", 6, 4, at.Add(6*time.Second)) != nil)
}
