package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// The demand follows section 1.6 of the design page: five services whose
// demand rises to five times its mean in turn, for burstLength each, and falls
// to a twentieth in between.
const (
	burstLength = 4 * time.Second
	cycles      = 2
	burstFactor = 5.0
	quietFactor = 0.05
	// burstLoad is the demand in a burst over the announced capacity.
	burstLoad = 1.15
	// belowMean is the demand of the callers that do not take part in a burst,
	// over their mean.
	belowMean = 0.8

	instancesPerService = 10
	slotsPerInstance    = 8
	entryCount          = 12
	orderShare          = 0.2
	// orderSlowness is the median run time of orders over that of quotes.
	orderSlowness = 2.5
	// tailShare of the run times come from a Pareto tail with exponent tailExponent.
	tailShare    = 0.1
	tailExponent = 1.5
	tailLongest  = 8 * time.Second
	runSpread    = 0.5
)

// deployment is what differs between the deployments.
type deployment struct {
	centres  []string
	services []string
	callers  []string
	// bursting is how many callers take part in a burst.
	bursting int
}

var deployments = map[string]deployment{
	"kitakaze": {
		centres:  []string{"sapporo", "asahikawa", "hakodate"},
		services: []string{"counter", "workshop", "courier", "intake", "other"},
		callers:  []string{"shop-1", "shop-2", "shop-3", "shop-4", "shop-5", "shop-6", "shop-7", "shop-8"},
		bursting: 2,
	},
	"consorcio": {
		centres:  []string{"lima-1", "lima-2", "lima-3", "lima-4"},
		services: []string{"desk-a", "desk-b", "desk-c", "desk-d", "administration"},
		callers:  []string{"member-a", "member-b", "member-c", "member-d"},
		bursting: 1,
	},
}

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"kitakaze", "consorcio"} }

// Seed is the seed of the committed traces.
const Seed = 20261204

// Generate returns the trace of a deployment. The same seed gives the same
// trace.
func Generate(name string, seed uint64) (*Trace, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, eris.Errorf("unknown deployment %q; use one of %v", name, Deployments())
	}
	g := &generator{d: d, rng: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	g.t = &Trace{
		Deployment: name, Seed: seed, Length: cycles * time.Duration(len(d.services)) * burstLength,
		Centres: d.centres, Services: d.services, Callers: d.callers,
	}
	g.machines()
	g.faults()
	g.requests()
	return g.t, nil
}

type generator struct {
	d   deployment
	rng *rand.Rand
	t   *Trace
}

// machines spreads entries and instances over the data centres. In every
// service the third instance announces twice the slots it has, and the sixth is
// twice as slow as the others.
func (g *generator) machines() {
	for i := range entryCount {
		g.t.Entries = append(g.t.Entries, i%len(g.d.centres))
	}
	for s := range g.d.services {
		for i := range instancesPerService {
			in := Instance{Service: s, Centre: (i + s) % len(g.d.centres), Slots: slotsPerInstance, Actual: slotsPerInstance, Slowness: 1}
			if i == 2 {
				in.Actual = slotsPerInstance / 2
			}
			if i == 5 {
				in.Slowness = 2
			}
			g.t.Instances = append(g.t.Instances, in)
		}
	}
}

// faults lets one instance of every service fail everything during its first
// burst, while another one freezes or leaves. In the second half a data centre
// is lost, and an entry shortly after it came back.
func (g *generator) faults() {
	for s := range g.d.services {
		start := time.Duration(s) * burstLength
		first := s * instancesPerService
		g.add(FaultFailing, first+7, start+500*time.Millisecond, start+3*time.Second)
		if s%2 == 0 {
			g.add(FaultFrozen, first+8, start+time.Second, start+6*time.Second)
			continue
		}
		g.add(FaultLeaving, first+9, start+2*time.Second, start+12*time.Second)
	}
	half := g.t.Length / 2
	g.add(FaultCentre, 1, half+5*time.Second, half+9*time.Second)
	g.add(FaultEntry, 0, half+13*time.Second, g.t.Length)
}

func (g *generator) add(k FaultKind, index int, from, until time.Duration) {
	g.t.Faults = append(g.t.Faults, Fault{Kind: k, Index: index, From: from, Until: until})
}

type arrival struct {
	at time.Duration
	r  Request
}

func (g *generator) requests() {
	var all []arrival
	for s := range g.d.services {
		for c := range g.d.callers {
			all = g.stream(all, s, c)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	last := time.Duration(0)
	for _, a := range all {
		a.r.After = uint32((a.at - last).Microseconds())
		last += time.Duration(a.r.After) * time.Microsecond
		g.t.Requests = append(g.t.Requests, a.r)
	}
}

// stream adds the requests of one caller to one service, a Poisson process
// whose rate changes with the bursts.
func (g *generator) stream(all []arrival, s, c int) []arrival {
	median := medianRun(s)
	capacity := instancesPerService * slotsPerInstance / g.meanRun(median).Seconds()
	mean := burstLoad * capacity / burstFactor / float64(len(g.d.callers))
	now := time.Duration(0)
	for now < g.t.Length {
		rate, burst := g.rate(now, s, c)
		step := time.Duration(g.rng.ExpFloat64() / (mean * rate) * float64(time.Second))
		phaseEnd := now.Truncate(burstLength) + burstLength
		if now+step >= phaseEnd {
			now = phaseEnd
			continue
		}
		now += step
		all = append(all, arrival{at: now, r: g.request(s, c, median, burst)})
	}
	return all
}

// rate returns the demand of a caller over its mean, and whether it is above it.
func (g *generator) rate(now time.Duration, s, c int) (rate float64, burst bool) {
	phase := int(now / burstLength)
	if phase%len(g.d.services) != s {
		return quietFactor, false
	}
	n := len(g.d.callers)
	// The callers that take part change from burst to burst.
	turn := (c - phase*g.d.bursting%n + n) % n
	if turn >= g.d.bursting {
		return belowMean, false
	}
	others := belowMean * float64(n-g.d.bursting)
	return (burstFactor*float64(n) - others) / float64(g.d.bursting), true
}

func (g *generator) request(s, c int, median time.Duration, burst bool) Request {
	r := Request{Service: uint8(s), Caller: uint8(c), Entry: uint8(g.rng.IntN(entryCount)), Burst: burst}
	patience := 400 + g.rng.IntN(1100)
	if g.rng.Float64() < orderShare {
		r.Class = 1
		patience = 1000 + g.rng.IntN(2000)
	}
	r.PatienceMS = uint16(patience)
	r.RunMicros = uint32(g.run(median, r.Class).Microseconds())
	return r
}

// run draws a run time: log-normal, with a Pareto tail.
func (g *generator) run(median time.Duration, class uint8) time.Duration {
	m := float64(median)
	if class == 1 {
		m *= orderSlowness
	}
	if g.rng.Float64() < tailShare {
		x := 2 * m * math.Pow(1-g.rng.Float64(), -1/tailExponent)
		return min(time.Duration(x), tailLongest)
	}
	return time.Duration(m * math.Exp(runSpread*g.rng.NormFloat64()))
}

// meanRun estimates the mean run time from its own random numbers.
func (g *generator) meanRun(median time.Duration) time.Duration {
	const samples = 20000
	own := &generator{d: g.d, rng: rand.New(rand.NewPCG(1, 1))}
	sum := time.Duration(0)
	for i := range samples {
		class := uint8(0)
		if float64(i) < orderShare*samples {
			class = 1
		}
		sum += own.run(median, class)
	}
	return sum / samples
}

// medianRun returns the median run time of a service's quotes.
func medianRun(s int) time.Duration {
	return time.Duration(50+15*s) * time.Millisecond
}
