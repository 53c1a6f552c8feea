package galenafleet

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// minPeakMachines is the least load, in machines beyond lasting work, that
	// counts as a peak.
	minPeakMachines = 3
	// peakStartShare and calmShare are the parts of the most machines that a service
	// kept busy above which a peak begins and below which the service is calm
	// again. Between peaks a service asks for a hundredth of a peak, or a few large
	// jobs.
	peakStartShare = 0.35
	calmShare      = 0.2
	// minCalmTime is how long a service must be calm before a peak can begin.
	minCalmTime = time.Second
	// moveLeadTime is how long before a forecast peak machines are on their way: a
	// move takes about that long until the instance is ready.
	moveLeadTime = 2200 * time.Millisecond
	// latePeakGrace is how long the machines wait for a peak that is late.
	latePeakGrace = 1200 * time.Millisecond
	// minPeakInterval and maxPeakInterval bound the time between the beginnings of two peaks.
	minPeakInterval = 2 * time.Second
	maxPeakInterval = 10 * time.Minute
	// minPeaks is how many peaks a forecast needs, and maxForecastPeaks how many of the
	// last it looks at.
	minPeaks         = 2
	maxForecastPeaks = 5
	// maxMovedAhead bounds the machines that are sent ahead of a peak.
	maxMovedAhead = 20
	// maxPeaksPerService bounds the onsets that are kept for each service.
	maxPeaksPerService = 4
)

// DemandPeak is the beginning of a peak of a service's demand.
type DemandPeak struct {
	Service galenahead.ServiceName `cbor:"1,keyasint"`
	Start   time.Time              `cbor:"2,keyasint"`
	// Machines is how many machines the peak kept busy.
	Machines int `cbor:"3,keyasint"`
	// Over tells that the service has been calm since.
	Over bool `cbor:"4,keyasint,omitempty"`
}

// forecaster notes the peaks of each service and expects them to recur: the
// queues' demand rises and falls by turns.
type forecaster struct {
	services map[galenahead.ServiceName]*serviceDemand
}

// serviceDemand is the demand of one service.
type serviceDemand struct {
	peaks  []DemandPeak
	inPeak bool
	// maxBusy is the most machines that were busy. The load can be far above it
	// while work waits.
	maxBusy   float64
	calmSince time.Time
}

// longAgo is since when a service is calm that is not known to be in a peak: the
// last owner would have noted its beginning.
var longAgo = time.Unix(0, 0)

func newForecaster(past []DemandPeak) *forecaster {
	f := &forecaster{services: map[galenahead.ServiceName]*serviceDemand{}}
	for _, o := range past {
		c := f.demandOf(o.Service)
		// A peak that was not over may still last; a calm span ends it otherwise.
		c.inPeak = !o.Over
		if c.inPeak {
			c.calmSince = time.Time{}
		}
		c.peaks = append(c.peaks, o)
		c.maxBusy = max(c.maxBusy, float64(o.Machines))
	}
	return f
}

func (f *forecaster) demandOf(service galenahead.ServiceName) *serviceDemand {
	c, ok := f.services[service]
	if !ok {
		c = &serviceDemand{calmSince: longAgo}
		f.services[service] = c
	}
	return c
}

// observe notes the load of a service, in machines. It returns the onset that
// begins or has grown, if any, which should be kept for a successor.
func (f *forecaster) observe(service galenahead.ServiceName, load float64, busy int, now time.Time) *DemandPeak {
	c := f.demandOf(service)
	c.maxBusy = max(c.maxBusy, min(load, float64(busy)))
	switch {
	case load < max(1, calmShare*c.maxBusy):
		if c.calmSince.IsZero() {
			c.calmSince = now
		}
		if c.inPeak && now.Sub(c.calmSince) >= minCalmTime {
			c.inPeak = false
			last := &c.peaks[len(c.peaks)-1]
			last.Over = true
			return last
		}
	case !c.inPeak && load >= max(minPeakMachines, peakStartShare*c.maxBusy):
		if c.calmSince.IsZero() || now.Sub(c.calmSince) < minCalmTime {
			break
		}
		c.calmSince, c.inPeak = time.Time{}, true
		c.peaks = append(c.peaks, DemandPeak{Service: service, Start: now, Machines: busy})
		if len(c.peaks) > maxPeaksPerService {
			c.peaks = slices.Delete(c.peaks, 0, 1)
		}
		return &c.peaks[len(c.peaks)-1]
	default:
		if !c.inPeak {
			break
		}
		c.calmSince = time.Time{}
	}
	if c.inPeak {
		last := &c.peaks[len(c.peaks)-1]
		last.Machines = max(last.Machines, busy)
	}
	return nil
}

// expectedMachines returns how many machines a forecast peak of the service wants now.
// Peaks follow each other in turns: the services that had none yet are next, or
// the one whose last peak is longest ago.
func (f *forecaster) expectedMachines(service galenahead.ServiceName, now time.Time) int {
	last, interval, ok := f.interval()
	if !ok {
		return 0
	}
	start := last.Add(interval)
	if now.Before(start.Add(-moveLeadTime)) || now.After(start.Add(latePeakGrace)) {
		return 0
	}
	next := f.nextServices()
	if !slices.Contains(next, service) {
		return 0
	}
	machines := 0
	for _, c := range f.services {
		if n := len(c.peaks); n > 0 {
			machines = max(machines, c.peaks[n-1].Machines)
		}
	}
	if c := f.services[service]; len(c.peaks) > 0 {
		machines = c.peaks[len(c.peaks)-1].Machines
	}
	return min(machines, maxMovedAhead) / len(next)
}

// interval returns when the last peak began and the usual time between the
// beginnings of two peaks.
func (f *forecaster) interval() (last time.Time, interval time.Duration, ok bool) {
	var starts []time.Time
	for _, c := range f.services {
		for _, o := range c.peaks {
			starts = append(starts, o.Start)
		}
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return a.Compare(b) })
	if len(starts) < minPeaks {
		return last, 0, false
	}
	starts = starts[max(0, len(starts)-maxForecastPeaks):]
	gaps := make([]time.Duration, 0, len(starts))
	for i := range starts[1:] {
		gaps = append(gaps, starts[i+1].Sub(starts[i]))
	}
	slices.Sort(gaps)
	interval = gaps[len(gaps)/2]
	spread := gaps[len(gaps)-1] - gaps[0]
	return starts[len(starts)-1], interval, interval >= minPeakInterval && interval <= maxPeakInterval && spread <= interval/2
}

// nextServices returns the services of which one has its turn next.
func (f *forecaster) nextServices() []galenahead.ServiceName {
	var fresh []galenahead.ServiceName
	var best galenahead.ServiceName
	var oldest time.Time
	for _, name := range sortedServices(f.services) {
		c := f.services[name]
		if len(c.peaks) == 0 {
			fresh = append(fresh, name)
			continue
		}
		at := c.peaks[len(c.peaks)-1].Start
		if best == "" || at.Before(oldest) {
			best, oldest = name, at
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return []galenahead.ServiceName{best}
}

// pastRise tells whether the service is in a peak that has risen for its time.
func (f *forecaster) pastRise(service galenahead.ServiceName, now time.Time) bool {
	c := f.services[service]
	return c != nil && c.inPeak && now.Sub(c.peaks[len(c.peaks)-1].Start) > peakRiseTime
}

// lastPeakStart returns when the last peak began, if any was noted.
func (f *forecaster) lastPeakStart() (at time.Time, ok bool) {
	for _, c := range f.services {
		if n := len(c.peaks); n > 0 && c.peaks[n-1].Start.After(at) {
			at, ok = c.peaks[n-1].Start, true
		}
	}
	return at, ok
}

func sortedServices(m map[galenahead.ServiceName]*serviceDemand) []galenahead.ServiceName {
	names := make([]galenahead.ServiceName, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// machinesFor returns how many machines of a size hold r, as a fraction.
func machinesFor(r, size galenajob.Resources) float64 {
	n := 0.0
	for _, pair := range [][2]int64{{r.MilliCPU, size.MilliCPU}, {r.MemoryMB, size.MemoryMB}, {r.GPU, size.GPU}} {
		if pair[1] > 0 {
			n = max(n, float64(pair[0])/float64(pair[1]))
		}
	}
	return n
}
