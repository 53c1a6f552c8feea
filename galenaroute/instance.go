package galenaroute

import (
	"math"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// minRatioWeight is the minimum weight of the newest sample in the run time ratio
	// of an instance. Run times are heavy-tailed, so the mean of the ratio's logarithm
	// is learned over about 16 requests.
	minRatioWeight = 1.0 / 16
	// ratioPriorSamples is the number of samples that the initial assumption of an
	// average instance counts for.
	ratioPriorSamples = 4
	// ratioHalfLife is the half-life with which the run time ratio of an unused
	// instance returns to the average.
	ratioHalfLife = 5 * time.Second
	// failureWeight is the weight of the newest result in the failure ratio. One
	// failure after many successes raises the ratio to one fifth.
	failureWeight = 0.2
	// firstEjection is the duration of the first ejection. Each further one lasts
	// twice as long, up to maxEjection.
	firstEjection = 100 * time.Millisecond
	// maxEjection is the maximum duration of an ejection.
	maxEjection = 10 * time.Second
	// successesToReinstate is the number of consecutive successes after which an
	// ejected instance is reinstated. After n of them it may have n+1 requests in
	// flight from this entry.
	successesToReinstate = 4
	// idempotentProbeWait is how long only idempotent requests may probe an ejected
	// instance. After that, any request may probe it. Without this limit, an instance
	// of a service without idempotent requests would never be reinstated.
	idempotentProbeWait = 10 * time.Second
	// ejectionResetTime is how long an instance must stay reinstated until its
	// earlier ejections no longer lengthen the next one.
	ejectionResetTime = 30 * time.Second
	// unusedInstanceTTL is how long an instance that is not a candidate and has no
	// request in flight is remembered.
	unusedInstanceTTL = time.Minute
)

// instance is the state of one upstream instance as this entry observes it.
type instance struct {
	id galenahead.InstanceID
	// logRatio is the mean logarithm of the ratio between the run times of the
	// instance and the median run time of the request's class.
	logRatio float64
	// samples is the number of successes.
	samples float64
	// failureRatio is the moving average of failures.
	failureRatio float64
	inFlight     int
	// silentSince is the time of the last response, or of the start of the first
	// request in flight.
	silentSince time.Time
	// lastSuccess is the time of the last success.
	lastSuccess time.Time
	// timeouts counts the timeouts since the last success.
	timeouts  int
	lastSeen  time.Time
	lastStart time.Time
	// cost is the cost of the instance in the current call of rank.
	cost float64
	// ejected is set until the instance is reinstated, also while it is probed.
	ejected bool
	// ejectedBy is the entry on whose behalf the instance is ejected, or empty if
	// this entry ejected it.
	ejectedBy galenahead.EntryName
	// localOnly is set if the other entries are not told about the ejection, because
	// timeouts at one entry are weak evidence.
	localOnly    bool
	ejectedUntil time.Time
	// pausedUntil is the end of the pause that follows a failure.
	pausedUntil          time.Time
	consecutiveEjections int
	probeSuccesses       int
	reinstatedAt         time.Time
}

func (in *instance) requestStarted(now time.Time) {
	if in.inFlight == 0 {
		in.silentSince = now
	}
	in.inFlight++
	in.lastStart = now
}

func (in *instance) requestEnded() {
	in.inFlight = max(0, in.inFlight-1)
}

// observeRunTime updates logRatio with a run time. median is the median run time of
// the request's class.
func (in *instance) observeRunTime(runTime, median time.Duration) {
	in.samples++
	if runTime <= 0 || median <= 0 {
		return
	}
	weight := max(minRatioWeight, 1/(in.samples+ratioPriorSamples))
	in.logRatio += (math.Log(float64(runTime)/float64(median)) - in.logRatio) * weight
}

// expectedRunTime returns the expected run time in seconds. median is the median
// run time of the service. Failed attempts have to be repeated, so the result grows
// with the failure ratio, and an instance that fails fast does not look fast. The
// run time ratio decays while the instance is unused, so that an instance which was
// slow is measured again.
func (in *instance) expectedRunTime(now time.Time, median time.Duration) float64 {
	const minSuccessRatio = 0.01
	age := now.Sub(in.lastStart).Seconds() / ratioHalfLife.Seconds()
	ratio := in.logRatio * math.Exp2(-age)
	return median.Seconds() * math.Exp(ratio) / max(1-in.failureRatio, minSuccessRatio)
}

// eject ejects the instance, or starts another ejection period if a probe failed.
func (in *instance) eject(now time.Time) {
	if !in.ejected && now.Sub(in.reinstatedAt) > ejectionResetTime {
		in.consecutiveEjections = 0
	}
	duration := maxEjection
	if in.consecutiveEjections < 7 {
		duration = min(firstEjection<<in.consecutiveEjections, maxEjection)
	}
	in.consecutiveEjections++
	in.ejected = true
	in.probeSuccesses = 0
	in.ejectedUntil = now.Add(duration)
}

// recordProbeSuccess counts a success of an ejected instance and reinstates it
// after successesToReinstate of them.
func (in *instance) recordProbeSuccess(now time.Time) {
	if !in.ejected {
		return
	}
	in.probeSuccesses++
	if in.probeSuccesses < successesToReinstate {
		return
	}
	in.reinstate(now)
}

// reinstate ends the ejection.
func (in *instance) reinstate(now time.Time) {
	in.ejected = false
	in.ejectedBy = ""
	in.localOnly = false
	in.reinstatedAt = now
	in.failureRatio = 0
	in.timeouts = 0
}
