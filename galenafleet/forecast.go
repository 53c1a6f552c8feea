package galenafleet

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// minPeakMachines is the lowest load that counts as a peak, in machines and
	// without long-running work.
	minPeakMachines = 3
	// peakStartShare and calmShare are fractions of the highest number of machines
	// that a service kept busy. A peak starts at a load of peakStartShare, and the
	// service is calm below calmShare. The load between peaks is a hundredth of that
	// in a peak, or a few large jobs.
	peakStartShare = 0.35
	calmShare      = 0.2
	// minCalmTime is how long a service must be calm for its peak to be over and for
	// the next one to start.
	minCalmTime = time.Second
	// moveLeadTime is how long before the start of a forecast peak machines are moved.
	// A move takes about that long until the instance is ready.
	moveLeadTime = 2200 * time.Millisecond
	// latePeakGrace is how long the machines are kept for a forecast peak that is late.
	latePeakGrace = 1200 * time.Millisecond
	// minPeakInterval and maxPeakInterval bound the time between the starts of two
	// peaks for which there is a forecast.
	minPeakInterval = 2 * time.Second
	maxPeakInterval = 10 * time.Minute
	// minPeaks is how many peaks a forecast needs, and maxForecastPeaks how many of
	// the last peaks it is based on.
	minPeaks         = 2
	maxForecastPeaks = 5
	// maxMovedAhead bounds the number of machines that are moved before a peak.
	maxMovedAhead = 20
	// maxPeaksPerService bounds the peaks that are kept for each service.
	maxPeaksPerService = 4
)

// DemandPeak is a peak of a service's demand.
type DemandPeak struct {
	Service galenahead.ServiceName `cbor:"1,keyasint"`
	Start   time.Time              `cbor:"2,keyasint"`
	// Machines is the highest number of machines that the peak kept busy.
	Machines int `cbor:"3,keyasint"`
	// Over reports that the peak has ended.
	Over bool `cbor:"4,keyasint,omitempty"`
}

// forecaster records the demand peaks of each service and forecasts the next one.
// It assumes that the services have their peaks in turn, at regular intervals.
type forecaster struct {
	services map[galenahead.ServiceName]*serviceDemand
}

// serviceDemand is the recorded demand of one service.
type serviceDemand struct {
	peaks  []DemandPeak
	inPeak bool
	// maxBusy is the highest number of machines that were busy. The load can be far
	// above it while work waits.
	maxBusy float64
	// calmSince is when the service became calm, or the zero time if it is not calm.
	calmSince time.Time
}

// longAgo is the initial calmSince of a service that is not known to be in a peak. An
// earlier owner would have recorded the start of such a peak.
var longAgo = time.Unix(0, 0)

func newForecaster(past []DemandPeak) *forecaster {
	f := &forecaster{services: map[galenahead.ServiceName]*serviceDemand{}}
	for _, p := range past {
		d := f.demandOf(p.Service)
		// A peak that was not recorded as over may still be in progress; otherwise the
		// first calm ends it.
		d.inPeak = !p.Over
		if d.inPeak {
			d.calmSince = time.Time{}
		}
		d.peaks = append(d.peaks, p)
		d.maxBusy = max(d.maxBusy, float64(p.Machines))
	}
	return f
}

func (f *forecaster) demandOf(service galenahead.ServiceName) *serviceDemand {
	d, ok := f.services[service]
	if !ok {
		d = &serviceDemand{calmSince: longAgo}
		f.services[service] = d
	}
	return d
}

// observe records the load of a service in machines, and how many are busy. If a peak
// starts or ends, it returns the peak, which should be recorded for the next owner.
func (f *forecaster) observe(service galenahead.ServiceName, load float64, busy int, now time.Time) *DemandPeak {
	d := f.demandOf(service)
	d.maxBusy = max(d.maxBusy, min(load, float64(busy)))
	switch {
	case load < max(1, calmShare*d.maxBusy):
		if d.calmSince.IsZero() {
			d.calmSince = now
		}
		if d.inPeak && now.Sub(d.calmSince) >= minCalmTime {
			d.inPeak = false
			last := &d.peaks[len(d.peaks)-1]
			last.Over = true
			return last
		}
	case !d.inPeak && load >= max(minPeakMachines, peakStartShare*d.maxBusy):
		if d.calmSince.IsZero() || now.Sub(d.calmSince) < minCalmTime {
			break
		}
		d.calmSince, d.inPeak = time.Time{}, true
		d.peaks = append(d.peaks, DemandPeak{Service: service, Start: now, Machines: busy})
		if len(d.peaks) > maxPeaksPerService {
			d.peaks = slices.Delete(d.peaks, 0, 1)
		}
		return &d.peaks[len(d.peaks)-1]
	default:
		if !d.inPeak {
			break
		}
		d.calmSince = time.Time{}
	}
	if d.inPeak {
		last := &d.peaks[len(d.peaks)-1]
		last.Machines = max(last.Machines, busy)
	}
	return nil
}

// expectedMachines returns how many machines the service needs now for a forecast
// peak. If several services may be next, they share that number equally.
func (f *forecaster) expectedMachines(service galenahead.ServiceName, now time.Time) int {
	last, interval, ok := f.peakInterval()
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
	for _, d := range f.services {
		if n := len(d.peaks); n > 0 {
			machines = max(machines, d.peaks[n-1].Machines)
		}
	}
	if d := f.services[service]; len(d.peaks) > 0 {
		machines = d.peaks[len(d.peaks)-1].Machines
	}
	return min(machines, maxMovedAhead) / len(next)
}

// peakInterval returns the start of the last peak and the median time between the
// starts of two peaks. ok is false if there are too few peaks or their intervals are
// irregular.
func (f *forecaster) peakInterval() (last time.Time, interval time.Duration, ok bool) {
	var starts []time.Time
	for _, d := range f.services {
		for _, p := range d.peaks {
			starts = append(starts, p.Start)
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

// nextServices returns the services that may have the next peak: those that had none
// yet, or otherwise the one whose last peak is longest ago.
func (f *forecaster) nextServices() []galenahead.ServiceName {
	var withoutPeaks []galenahead.ServiceName
	var next galenahead.ServiceName
	var nextStart time.Time
	for _, name := range sortedServices(f.services) {
		d := f.services[name]
		if len(d.peaks) == 0 {
			withoutPeaks = append(withoutPeaks, name)
			continue
		}
		at := d.peaks[len(d.peaks)-1].Start
		if next == "" || at.Before(nextStart) {
			next, nextStart = name, at
		}
	}
	if len(withoutPeaks) > 0 {
		return withoutPeaks
	}
	return []galenahead.ServiceName{next}
}

// pastRise reports whether the service is in a peak that has lasted longer than
// peakRiseTime.
func (f *forecaster) pastRise(service galenahead.ServiceName, now time.Time) bool {
	d := f.services[service]
	return d != nil && d.inPeak && now.Sub(d.peaks[len(d.peaks)-1].Start) > peakRiseTime
}

// lastPeakStart returns the start of the last peak of any service, if there is one.
func (f *forecaster) lastPeakStart() (at time.Time, ok bool) {
	for _, d := range f.services {
		if n := len(d.peaks); n > 0 && d.peaks[n-1].Start.After(at) {
			at, ok = d.peaks[n-1].Start, true
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

// machinesFor returns how many machines of the given size hold r. The result is not
// rounded.
func machinesFor(r, size galenajob.Resources) float64 {
	n := 0.0
	for _, pair := range [][2]int64{{r.MilliCPU, size.MilliCPU}, {r.MemoryMB, size.MemoryMB}, {r.GPU, size.GPU}} {
		if pair[1] > 0 {
			n = max(n, float64(pair[0])/float64(pair[1]))
		}
	}
	return n
}
