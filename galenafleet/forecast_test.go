package galenafleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// observeAlternatingPeaks feeds f the load of two services that have peaks of 4 s in
// turn, from the given time on.
func observeAlternatingPeaks(f *forecaster, from, until time.Duration) {
	for d := from; d < until; d += 200 * time.Millisecond {
		load := [2]float64{0.2, 0.2}
		if k := int(d / (4 * time.Second)); k > 0 {
			load[k%2] = 12
		}
		f.observe("a", load[0], int(load[0]), baseTime.Add(d))
		f.observe("b", load[1], int(load[1]), baseTime.Add(d))
	}
}

// Guards against missing a recurring peak, and against keeping machines for it
// longer than necessary.
func TestForecastsRecurringPeak(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	observeAlternatingPeaks(f, 0, 18*time.Second) // b from 4 s and 12 s, a from 8 s and 16 s
	_, hasPeak := f.lastPeakStart()
	is.True(hasPeak)
	next := baseTime.Add(20 * time.Second)
	is.Equal(f.expectedMachines("b", next.Add(-moveLeadTime-time.Second)), 0)
	is.Equal(f.expectedMachines("b", next.Add(-moveLeadTime+100*time.Millisecond)), 12)
	is.Equal(f.expectedMachines("a", next.Add(-moveLeadTime+100*time.Millisecond)), 0)
	is.Equal(f.expectedMachines("b", next.Add(latePeakGrace+time.Second)), 0) // the peak did not occur
}

// Guards against forecasts from peaks at irregular intervals.
func TestDoesNotForecastIrregularPeaks(t *testing.T) {
	is := is.New(t)
	var past []DemandPeak
	for _, s := range []int{0, 3, 20, 22} {
		past = append(past, DemandPeak{Service: "a", Start: baseTime.Add(time.Duration(s) * time.Second), Machines: 9})
	}
	f := newForecaster(past)
	for d := 22; d < 60; d++ {
		is.Equal(f.expectedMachines("a", baseTime.Add(time.Duration(d)*time.Second)), 0)
	}
}

// Guards against losing the recorded peaks at a change of owner.
func TestNewOwnerForecastsPeakFromRecordedPeaks(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	observeAlternatingPeaks(f, 0, 18*time.Second)
	var past []DemandPeak
	for _, name := range sortedServices(f.services) {
		past = append(past, f.services[name].peaks...)
	}
	g := newForecaster(past)
	is.Equal(g.expectedMachines("b", baseTime.Add(19*time.Second)), 12)
}

// Guards against counting a peak twice that continues during a change of owner.
func TestPeakSpanningOwnerChangeIsOnePeak(t *testing.T) {
	is := is.New(t)
	g := newForecaster([]DemandPeak{{Service: "a", Start: baseTime, Machines: 12}})
	for d := time.Second; d < 4*time.Second; d += 100 * time.Millisecond {
		g.observe("a", 12, 12, baseTime.Add(d))
	}
	is.Equal(len(g.services["a"].peaks), 1)
}

// Guards against missing a peak that starts between the sessions of two owners,
// after which the forecast would expect the services in the wrong order.
func TestRecordsPeakThatStartsWithoutOwner(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	observeAlternatingPeaks(f, 0, 18*time.Second)
	var past []DemandPeak
	for _, name := range sortedServices(f.services) {
		past = append(past, f.services[name].peaks...)
	}
	g := newForecaster(past) // b has been calm since 16 s, a is in its peak
	g.observe("a", 12, 12, baseTime.Add(21*time.Second))
	recorded := g.observe("b", 12, 12, baseTime.Add(21*time.Second))
	is.True(recorded != nil)
	is.Equal(recorded.Service, galenahead.ServiceName("b"))
	is.True(g.observe("c", 12, 12, baseTime.Add(21*time.Second)) != nil) // its first peak
	is.Equal(len(g.services["a"].peaks), len(f.services["a"].peaks))
}

// Guards against a peak that is recorded late because the backlog of an earlier one
// raised the threshold.
func TestBacklogDoesNotHideNextPeak(t *testing.T) {
	is := is.New(t)
	f := newForecaster(nil)
	is.True(f.observe("a", 60, 12, baseTime) != nil) // a large backlog with 12 busy machines
	for d := time.Duration(0); d < 2*minCalmTime; d += 100 * time.Millisecond {
		f.observe("a", 0.2, 0, baseTime.Add(time.Second+d))
	}
	is.True(f.observe("a", 3, 3, baseTime.Add(5*time.Second)) == nil) // a few jobs
	is.True(f.observe("a", 6, 4, baseTime.Add(6*time.Second)) != nil)
}
