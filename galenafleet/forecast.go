package galenafleet

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// peakMachines is the least load, in machines beyond lasting work, that
	// counts as a peak.
	peakMachines = 3
	// riseShare and calmShare are the parts of the most machines that a service
	// kept busy above which a peak begins and below which the service is calm
	// again. Between peaks a service asks for a hundredth of a peak, or a few large
	// jobs.
	riseShare = 0.35
	calmShare = 0.2
	// calmTime is how long a service must be calm before a peak can begin.
	calmTime = time.Second
	// moveAhead is how long before a forecast peak machines are on their way: a
	// move takes about that long until the instance is ready.
	moveAhead = 2200 * time.Millisecond
	// peakGrace is how long the machines wait for a peak that is late.
	peakGrace = 1200 * time.Millisecond
	// minTurn and maxTurn bound the time between the beginnings of two peaks.
	minTurn = 2 * time.Second
	maxTurn = 10 * time.Minute
	// minOnsets is how many peaks a forecast needs, and onsetsUsed how many of the
	// last it looks at.
	minOnsets  = 2
	onsetsUsed = 5
	// mostAhead bounds the machines that are sent ahead of a peak.
	mostAhead = 20
	// onsetsKept bounds the onsets that are kept for each service.
	onsetsKept = 4
)

// Onset is the beginning of a peak of a service's demand.
type Onset struct {
	Service galenahead.ServiceName `cbor:"1,keyasint"`
	At      time.Time              `cbor:"2,keyasint"`
	// Machines is how many machines the peak kept busy.
	Machines int `cbor:"3,keyasint"`
	// Over tells that the service has been calm since.
	Over bool `cbor:"4,keyasint,omitempty"`
}

// forecaster notes the peaks of each service and expects them to recur: the
// queues' demand rises and falls by turns.
type forecaster struct {
	services map[galenahead.ServiceName]*demandCurve
}

// demandCurve is the demand of one service.
type demandCurve struct {
	onsets []Onset
	high   bool
	// highest is the most machines that were busy. The load can be far above it
	// while work waits.
	highest   float64
	calmSince time.Time
}

// longAgo is since when a service is calm that is not known to be in a peak: the
// last owner would have noted its beginning.
var longAgo = time.Unix(0, 0)

func newForecaster(past []Onset) *forecaster {
	f := &forecaster{services: map[galenahead.ServiceName]*demandCurve{}}
	for _, o := range past {
		c := f.curve(o.Service)
		// A peak that was not over may still last; a calm span ends it otherwise.
		c.high = !o.Over
		if c.high {
			c.calmSince = time.Time{}
		}
		c.onsets = append(c.onsets, o)
		c.highest = max(c.highest, float64(o.Machines))
	}
	return f
}

func (f *forecaster) curve(service galenahead.ServiceName) *demandCurve {
	c, ok := f.services[service]
	if !ok {
		c = &demandCurve{calmSince: longAgo}
		f.services[service] = c
	}
	return c
}

// observe notes the load of a service, in machines. It returns the onset that
// begins or has grown, if any, which should be kept for a successor.
func (f *forecaster) observe(service galenahead.ServiceName, load float64, busy int, now time.Time) *Onset {
	c := f.curve(service)
	c.highest = max(c.highest, min(load, float64(busy)))
	switch {
	case load < max(1, calmShare*c.highest):
		if c.calmSince.IsZero() {
			c.calmSince = now
		}
		if c.high && now.Sub(c.calmSince) >= calmTime {
			c.high = false
			last := &c.onsets[len(c.onsets)-1]
			last.Over = true
			return last
		}
	case !c.high && load >= max(peakMachines, riseShare*c.highest):
		if c.calmSince.IsZero() || now.Sub(c.calmSince) < calmTime {
			break
		}
		c.calmSince, c.high = time.Time{}, true
		c.onsets = append(c.onsets, Onset{Service: service, At: now, Machines: busy})
		if len(c.onsets) > onsetsKept {
			c.onsets = slices.Delete(c.onsets, 0, 1)
		}
		return &c.onsets[len(c.onsets)-1]
	default:
		if !c.high {
			break
		}
		c.calmSince = time.Time{}
	}
	if c.high {
		last := &c.onsets[len(c.onsets)-1]
		last.Machines = max(last.Machines, busy)
	}
	return nil
}

// expected returns how many machines a forecast peak of the service wants now.
// Peaks follow each other in turns: the services that had none yet are next, or
// the one whose last peak is longest ago.
func (f *forecaster) expected(service galenahead.ServiceName, now time.Time) int {
	last, turn, ok := f.turn()
	if !ok {
		return 0
	}
	begin := last.Add(turn)
	if now.Before(begin.Add(-moveAhead)) || now.After(begin.Add(peakGrace)) {
		return 0
	}
	next := f.next()
	if !slices.Contains(next, service) {
		return 0
	}
	machines := 0
	for _, c := range f.services {
		if n := len(c.onsets); n > 0 {
			machines = max(machines, c.onsets[n-1].Machines)
		}
	}
	if c := f.services[service]; len(c.onsets) > 0 {
		machines = c.onsets[len(c.onsets)-1].Machines
	}
	return min(machines, mostAhead) / len(next)
}

// turn returns when the last peak began and the usual time between the
// beginnings of two peaks.
func (f *forecaster) turn() (last time.Time, turn time.Duration, ok bool) {
	var begins []time.Time
	for _, c := range f.services {
		for _, o := range c.onsets {
			begins = append(begins, o.At)
		}
	}
	slices.SortFunc(begins, func(a, b time.Time) int { return a.Compare(b) })
	if len(begins) < minOnsets {
		return last, 0, false
	}
	begins = begins[max(0, len(begins)-onsetsUsed):]
	gaps := make([]time.Duration, 0, len(begins))
	for i := range begins[1:] {
		gaps = append(gaps, begins[i+1].Sub(begins[i]))
	}
	slices.Sort(gaps)
	turn = gaps[len(gaps)/2]
	spread := gaps[len(gaps)-1] - gaps[0]
	return begins[len(begins)-1], turn, turn >= minTurn && turn <= maxTurn && spread <= turn/2
}

// next returns the services of which one has its turn next.
func (f *forecaster) next() []galenahead.ServiceName {
	var fresh []galenahead.ServiceName
	var best galenahead.ServiceName
	var oldest time.Time
	for _, name := range sortedNames(f.services) {
		c := f.services[name]
		if len(c.onsets) == 0 {
			fresh = append(fresh, name)
			continue
		}
		at := c.onsets[len(c.onsets)-1].At
		if best == "" || at.Before(oldest) {
			best, oldest = name, at
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return []galenahead.ServiceName{best}
}

// falling tells whether the service is in a peak that has risen for its time.
func (f *forecaster) falling(service galenahead.ServiceName, now time.Time) bool {
	c := f.services[service]
	return c != nil && c.high && now.Sub(c.onsets[len(c.onsets)-1].At) > peakRise
}

// last returns when the last peak began, if any was noted.
func (f *forecaster) last() (at time.Time, ok bool) {
	for _, c := range f.services {
		if n := len(c.onsets); n > 0 && c.onsets[n-1].At.After(at) {
			at, ok = c.onsets[n-1].At, true
		}
	}
	return at, ok
}

func sortedNames(m map[galenahead.ServiceName]*demandCurve) []galenahead.ServiceName {
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
