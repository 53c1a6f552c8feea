package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// The demand follows section 1.6 of the design page: the demand on each of five
// services in turn is five times its mean for burstLength, and a twentieth of
// the mean at all other times.
const (
	burstLength = 4 * time.Second
	cycles      = 2
	burstFactor = 5.0
	idleFactor  = 0.05
	// burstLoad is the demand during a burst, relative to the announced capacity.
	burstLoad = 1.15
	// nonBurstingFactor is the demand of the callers that do not take part in a
	// burst, relative to their mean.
	nonBurstingFactor = 0.8

	instancesPerService = 10
	slotsPerInstance    = 8
	entryCount          = 12
	orderShare          = 0.2
	// orderSlowness is the median run time of orders relative to that of quotes.
	orderSlowness = 2.5
	// A share tailShare of the run times is drawn from a Pareto distribution with
	// exponent tailExponent.
	tailShare      = 0.1
	tailExponent   = 1.5
	maxTailRunTime = 8 * time.Second
	runTimeSigma   = 0.5
)

// deployment holds the parameters that differ between the deployments.
type deployment struct {
	dataCentres []string
	services    []string
	callers     []string
	// burstingCallers is the number of callers that take part in a burst.
	burstingCallers int
}

var deployments = map[string]deployment{
	"kitakaze": {
		dataCentres:     []string{"sapporo", "asahikawa", "hakodate"},
		services:        []string{"counter", "workshop", "courier", "intake", "other"},
		callers:         []string{"shop-1", "shop-2", "shop-3", "shop-4", "shop-5", "shop-6", "shop-7", "shop-8"},
		burstingCallers: 2,
	},
	"consorcio": {
		dataCentres:     []string{"lima-1", "lima-2", "lima-3", "lima-4"},
		services:        []string{"desk-a", "desk-b", "desk-c", "desk-d", "administration"},
		callers:         []string{"member-a", "member-b", "member-c", "member-d"},
		burstingCallers: 1,
	},
}

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"kitakaze", "consorcio"} }

// Seed is the seed of the committed traces.
const Seed = 20261204

// Generate returns the trace of a deployment. It is deterministic for a given
// seed.
func Generate(name string, seed uint64) (*Trace, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, eris.Errorf("unknown deployment %q; use one of %v", name, Deployments())
	}
	g := &generator{deployment: d, rng: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	g.trace = &Trace{
		Deployment: name, Seed: seed, Length: cycles * time.Duration(len(d.services)) * burstLength,
		DataCentres: d.dataCentres, Services: d.services, Callers: d.callers,
	}
	g.addMachines()
	g.addFaults()
	g.addRequests()
	return g.trace, nil
}

type generator struct {
	deployment deployment
	rng        *rand.Rand
	trace      *Trace
}

// addMachines distributes entries and instances over the data centres. In every
// service, the third instance announces twice its actual slots and the sixth
// instance is half as fast as the others.
func (g *generator) addMachines() {
	for i := range entryCount {
		g.trace.Entries = append(g.trace.Entries, i%len(g.deployment.dataCentres))
	}
	for s := range g.deployment.services {
		for i := range instancesPerService {
			in := Instance{Service: s, DataCentre: (i + s) % len(g.deployment.dataCentres), Slots: slotsPerInstance, ActualSlots: slotsPerInstance, Slowness: 1}
			if i == 2 {
				in.ActualSlots = slotsPerInstance / 2
			}
			if i == 5 {
				in.Slowness = 2
			}
			g.trace.Instances = append(g.trace.Instances, in)
		}
	}
}

// addFaults makes one instance of every service fail all requests during the
// service's first burst while another one is paused or leaves. In the second half
// of the trace a data centre is lost, and shortly after it has returned an entry
// is killed.
func (g *generator) addFaults() {
	for s := range g.deployment.services {
		start := time.Duration(s) * burstLength
		first := s * instancesPerService
		g.addFault(FaultFailing, first+7, start+500*time.Millisecond, start+3*time.Second)
		if s%2 == 0 {
			g.addFault(FaultPaused, first+8, start+time.Second, start+6*time.Second)
			continue
		}
		g.addFault(FaultLeaving, first+9, start+2*time.Second, start+12*time.Second)
	}
	half := g.trace.Length / 2
	g.addFault(FaultDataCentreLost, 1, half+5*time.Second, half+9*time.Second)
	g.addFault(FaultEntryLost, 0, half+13*time.Second, g.trace.Length)
}

func (g *generator) addFault(k FaultKind, index int, from, until time.Duration) {
	g.trace.Faults = append(g.trace.Faults, Fault{Kind: k, Index: index, From: from, Until: until})
}

type arrival struct {
	at      time.Duration
	request Request
}

func (g *generator) addRequests() {
	var all []arrival
	for s := range g.deployment.services {
		for c := range g.deployment.callers {
			all = g.appendStream(all, s, c)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	last := time.Duration(0)
	for _, a := range all {
		a.request.After = uint32((a.at - last).Microseconds())
		last += time.Duration(a.request.After) * time.Microsecond
		g.trace.Requests = append(g.trace.Requests, a.request)
	}
}

// appendStream appends the requests of one caller to one service. Arrivals are a
// Poisson process whose rate changes with the bursts.
func (g *generator) appendStream(all []arrival, s, c int) []arrival {
	median := medianRunTime(s)
	capacity := instancesPerService * slotsPerInstance / g.meanRunTime(median).Seconds()
	mean := burstLoad * capacity / burstFactor / float64(len(g.deployment.callers))
	now := time.Duration(0)
	for now < g.trace.Length {
		rate, burst := g.relativeRate(now, s, c)
		step := time.Duration(g.rng.ExpFloat64() / (mean * rate) * float64(time.Second))
		phaseEnd := now.Truncate(burstLength) + burstLength
		if now+step >= phaseEnd {
			now = phaseEnd
			continue
		}
		now += step
		all = append(all, arrival{at: now, request: g.newRequest(s, c, median, burst)})
	}
	return all
}

// relativeRate returns the demand of a caller relative to its mean, and whether
// the caller takes part in a burst.
func (g *generator) relativeRate(now time.Duration, s, c int) (rate float64, burst bool) {
	phase := int(now / burstLength)
	if phase%len(g.deployment.services) != s {
		return idleFactor, false
	}
	n := len(g.deployment.callers)
	// Each burst involves the next burstingCallers callers in rotation.
	turn := (c - phase*g.deployment.burstingCallers%n + n) % n
	if turn >= g.deployment.burstingCallers {
		return nonBurstingFactor, false
	}
	others := nonBurstingFactor * float64(n-g.deployment.burstingCallers)
	return (burstFactor*float64(n) - others) / float64(g.deployment.burstingCallers), true
}

func (g *generator) newRequest(s, c int, median time.Duration, burst bool) Request {
	r := Request{Service: uint8(s), Caller: uint8(c), Entry: uint8(g.rng.IntN(entryCount)), Burst: burst}
	timeoutMS := 400 + g.rng.IntN(1100)
	if g.rng.Float64() < orderShare {
		r.Class = 1
		timeoutMS = 1000 + g.rng.IntN(2000)
	}
	r.TimeoutMS = uint16(timeoutMS)
	r.RunTimeUS = uint32(g.drawRunTime(median, r.Class).Microseconds())
	return r
}

// drawRunTime draws a run time from a log-normal distribution with a Pareto tail.
func (g *generator) drawRunTime(median time.Duration, class uint8) time.Duration {
	m := float64(median)
	if class == 1 {
		m *= orderSlowness
	}
	if g.rng.Float64() < tailShare {
		x := 2 * m * math.Pow(1-g.rng.Float64(), -1/tailExponent)
		return min(time.Duration(x), maxTailRunTime)
	}
	return time.Duration(m * math.Exp(runTimeSigma*g.rng.NormFloat64()))
}

// meanRunTime estimates the mean run time from samples. It uses a separate random
// number generator, so that the trace does not depend on the number of samples.
func (g *generator) meanRunTime(median time.Duration) time.Duration {
	const samples = 20000
	own := &generator{deployment: g.deployment, rng: rand.New(rand.NewPCG(1, 1))}
	sum := time.Duration(0)
	for i := range samples {
		class := uint8(0)
		if float64(i) < orderShare*samples {
			class = 1
		}
		sum += own.drawRunTime(median, class)
	}
	return sum / samples
}

// medianRunTime returns the median run time of quotes of the service with index s.
func medianRunTime(s int) time.Duration {
	return time.Duration(50+15*s) * time.Millisecond
}
