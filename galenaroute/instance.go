package galenaroute

import (
	"math"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// ratioWeight is the weight of the newest run time in an instance's ratio to
	// its service. Run times are heavy tailed, so the ratio is kept as a logarithm
	// and learned over about 16 requests.
	ratioWeight = 1.0 / 16
	// ratioPrior is how many requests the assumption of an average instance is
	// worth.
	ratioPrior = 4
	// ratioHalfLife is how fast an unused instance's ratio returns to the average.
	ratioHalfLife = 5 * time.Second
	// failureWeight is the weight of the newest result in the failure ratio. One
	// failure after many successes counts as a ratio of a fifth.
	failureWeight = 0.2
	// firstEjection is how long the first ejection lasts; each further one lasts
	// twice as long.
	firstEjection = 100 * time.Millisecond
	// maxEjection bounds an ejection.
	maxEjection = 10 * time.Second
	// returnSteps is how many successes in a row bring an ejected instance back;
	// after n of them it may have n+1 requests in flight from this entry.
	returnSteps = 4
	// probePatience is how long an ejected instance waits for an idempotent probe
	// before any request may probe it. Without it, a service without idempotent
	// requests would never get an instance back.
	probePatience = 10 * time.Second
	// forgiveAfter is the healthy time after which an earlier ejection no longer
	// lengthens the next one.
	forgiveAfter = 30 * time.Second
	// forgetAfter is the age at which an instance without leases is forgotten.
	forgetAfter = time.Minute
)

// instance is what an entry knows of one instance.
type instance struct {
	id galenahead.InstanceID
	// ratio is the mean logarithm of run time over the service's median.
	ratio   float64
	samples float64
	// failures is the moving failure ratio.
	failures float64
	inFlight int
	// quietSince is the last answer, or the start of the first request in flight.
	quietSince time.Time
	// answeredAt is the last complete answer.
	answeredAt time.Time
	// timeouts counts the timeouts since.
	timeouts  int
	lastSeen  time.Time
	lastStart time.Time
	// cost is the cost in the ranking under way.
	cost float64
	// ejected tells that the instance is out of use or on its way back.
	ejected bool
	// owner is the entry on whose behalf the instance is ejected, empty for an own
	// ejection.
	owner galenahead.EntryName
	// private tells that the ejection is not passed on: timeouts at one entry are
	// weak evidence.
	private bool
	until   time.Time
	// holdUntil is the end of the pause after a failure.
	holdUntil time.Time
	ejections int
	successes int
	healthyAt time.Time
}

func (in *instance) start(now time.Time) {
	if in.inFlight == 0 {
		in.quietSince = now
	}
	in.inFlight++
	in.lastStart = now
}

func (in *instance) end() {
	in.inFlight = max(0, in.inFlight-1)
}

// learn adds a run time, given the service's median.
func (in *instance) learn(d, median time.Duration) {
	in.samples++
	if d <= 0 || median <= 0 {
		return
	}
	weight := max(ratioWeight, 1/(in.samples+ratioPrior))
	in.ratio += (math.Log(float64(d)/float64(median)) - in.ratio) * weight
}

// expected returns the run time to expect, given the service's median. Failed
// attempts have to be repeated, so the failure ratio lengthens it: an instance
// that fails fast does not look fast. An old ratio counts less, so that an
// instance which was slow is measured again.
func (in *instance) expected(now time.Time, median time.Duration) float64 {
	const leastSuccess = 0.01
	age := now.Sub(in.lastStart).Seconds() / ratioHalfLife.Seconds()
	ratio := in.ratio * math.Exp2(-age)
	return median.Seconds() * math.Exp(ratio) / max(1-in.failures, leastSuccess)
}

// eject takes the instance out of use.
func (in *instance) eject(now time.Time) {
	if !in.ejected && now.Sub(in.healthyAt) > forgiveAfter {
		in.ejections = 0
	}
	d := maxEjection
	if in.ejections < 7 {
		d = min(firstEjection<<in.ejections, maxEjection)
	}
	in.ejections++
	in.ejected = true
	in.successes = 0
	in.until = now.Add(d)
}

// recover counts a success on the way back.
func (in *instance) recover(now time.Time) {
	if !in.ejected {
		return
	}
	in.successes++
	if in.successes < returnSteps {
		return
	}
	in.back(now)
}

// back brings the instance back into use.
func (in *instance) back(now time.Time) {
	in.ejected = false
	in.owner = ""
	in.private = false
	in.healthyAt = now
	in.failures = 0
	in.timeouts = 0
}
