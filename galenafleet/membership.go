package galenafleet

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenametric"
)

// MembershipManager manages the members of the log. It bootstraps the log of a new
// deployment. While its replica is the leader, it adds replicas that are not
// members and replaces voters that are lost.
type MembershipManager struct {
	Self galenahead.Member
	// DataCentre is where this replica runs.
	DataCentre galenahead.DataCentre
	Log        Log
	Directory  *Directory
	Timers     galenahead.Timers
	Logger     *logrus.Logger
	Metrics    *galenametric.Metrics
	// Bootstrap allows a blank replica to bootstrap the log; it is set when the whole
	// deployment starts for the first time.
	Bootstrap bool
	// Seeds are the addresses of some control daemons, the same ones at every daemon
	// when the deployment starts for the first time.
	Seeds []string
	// VoterCount is the number of voters that the log should have: enough to tolerate
	// the failures that the settings allow for.
	VoterCount int
	// SpreadVoters moves votes to data centres with fewer of them, so that the log survives
	// the loss of a whole data centre.
	SpreadVoters bool
	// CatchUp is how long after the start of its successor a lost replica still counts as
	// one of the failures that the settings allow for; zero if that is not bounded.
	CatchUp time.Duration

	injected membershipFaults

	// seedsReadyAt is when all seeds were first seen ready for the bootstrap.
	seedsReadyAt time.Time
	// refusalLogged is set once the reason for not bootstrapping is logged.
	refusalLogged bool
	// shortageSince is when the log was first seen with fewer voters than
	// VoterCount; zero while it has enough. shortage is the number that the last
	// warning reported as missing.
	shortageSince time.Time
	shortage      int
}

// membershipFaults disable rules of the bootstrap. Only tests set them, to prove
// that the checks of the simulation detect each fault.
type membershipFaults struct {
	// anySeedDecides lets each seed with a data directory bootstrap the log.
	anySeedDecides bool
	// ignoreSilentSeeds bootstraps without the seeds that have not answered.
	ignoreSilentSeeds bool
	// skipWait bootstraps before VoterCount replicas are known.
	skipWait bool
}

const (
	// reconcileInterval is how often the members are compared with the replicas that
	// answer.
	reconcileInterval = 300 * time.Millisecond
	// minVoterTimeout and maxVoterTimeout bound how long after its last message a voter is
	// replaced, if another replica can take its place. The shorter one is longer than an
	// election.
	minVoterTimeout = 1200 * time.Millisecond
	maxVoterTimeout = 8 * time.Second
	// memberChangeTimeout bounds a bootstrap or one change of the members.
	memberChangeTimeout = time.Second
	// bootstrapWait is how long the bootstrap waits for VoterCount replicas once all
	// seeds are ready.
	bootstrapWait = 3 * time.Second
	// shortageDelay is how long the log may have too few voters before a warning:
	// replacing a voter takes less.
	shortageDelay = 10 * time.Second
	// aliveTimeout is the highest age of a replica's last message at which the replica
	// counts as alive.
	aliveTimeout = 3 * time.Second
)

// roleBlank is the role that the log reports for a replica without stored state.
const roleBlank = "blank"

// missingVotersMetric is the counter with the number of voters that the log lacks,
// as far as this replica knows.
const missingVotersMetric = "log_voters_missing"

// Run manages the members until ctx ends.
func (mm *MembershipManager) Run(ctx context.Context) error {
	ticks := mm.Timers.Subscribe(ctx, "keeper", reconcileInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		st := mm.Log.Status()
		switch {
		case st.Role != roleBlank:
			mm.checkVoterCount(st)
		case mm.Bootstrap:
			mm.bootstrap(ctx)
		}
		if mm.Log.HoldsLease() {
			mm.reconcileMembers(ctx, st)
		}
	}
}

// bootstrap bootstraps the log if this replica is the one that decides and the
// first members are known.
func (mm *MembershipManager) bootstrap(ctx context.Context) {
	members := mm.initialMembers(mm.Timers.Now())
	if len(members) == 0 {
		return
	}
	if len(members) < mm.VoterCount {
		mm.Logger.WithFields(logrus.Fields{"replicas": len(members), "wanted": mm.VoterCount}).
			Warn("bootstrapping the log with fewer replicas than the settings ask for")
	}
	callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.Bootstrap(callCtx, members)
	mm.Logger.WithField("members", len(members)).WithField("error", errorText(err)).Info("bootstrap of the log of a new deployment")
}

// initialMembers returns the first members of the log, or none if this replica must
// not bootstrap it now.
//
// Only one replica may ever bootstrap: of the seeds with a data directory, the one
// with the lowest address. This is decided without agreement between the daemons,
// since all have the same seeds and a seed's daemon either always has a data
// directory or never. Once that replica has bootstrapped the log, its own disk
// prevents it from doing so again.
func (mm *MembershipManager) initialMembers(now time.Time) []galenahead.Member {
	if members, _ := mm.Directory.Members(); len(members) > 0 {
		return nil // there is a log already
	}
	peers := mm.Directory.PeerInfo()
	var seeds, others []galenahead.Member
	for _, a := range slices.Sorted(slices.Values(mm.Seeds)) {
		info, ok := peers[a]
		delete(peers, a)
		switch {
		case !ok && mm.injected.ignoreSilentSeeds, info.NoReplica:
			continue
		case !ok:
			return nil
		case !info.Blank:
			return nil
		case len(seeds) == 0 && a != mm.Self.Address && !mm.injected.anySeedDecides:
			return nil
		}
		seeds = append(seeds, asVoter(info.Self))
	}
	if len(seeds) == 0 {
		mm.logRefusal()
		return nil
	}
	for _, a := range slices.Sorted(maps.Keys(peers)) {
		info := peers[a]
		switch {
		case info.NoReplica:
		case !info.Blank:
			return nil
		case now.Sub(mm.Directory.lastHeardFrom(a)) <= aliveTimeout:
			others = append(others, asVoter(info.Self))
		}
	}
	if mm.seedsReadyAt.IsZero() {
		mm.seedsReadyAt = now
	}
	missing := mm.VoterCount - len(seeds)
	if len(others) < missing && !mm.injected.skipWait && now.Sub(mm.seedsReadyAt) < bootstrapWait {
		return nil
	}
	for range max(0, min(missing, len(others))) {
		mm.sortBySpread(others, seeds)
		seeds, others = append(seeds, others[0]), others[1:]
	}
	return seeds
}

// logRefusal logs once that no daemon may bootstrap the log. Which replica does so
// could only be remembered by the seeds, and these forget it when they restart.
func (mm *MembershipManager) logRefusal() {
	if !mm.refusalLogged {
		mm.Logger.WithField("seeds", mm.Seeds).Error("no seed has a data directory; the log is not bootstrapped")
	}
	mm.refusalLogged = true
}

func asVoter(m galenahead.Member) galenahead.Member {
	m.Voter = true
	return m
}

// checkVoterCount warns if the log has had too few voters for shortageDelay, and
// again whenever their number changes.
func (mm *MembershipManager) checkVoterCount(st galenahead.LogStatus) {
	missing := mm.VoterCount
	for _, m := range st.Members {
		if m.Voter {
			missing--
		}
	}
	now := mm.Timers.Now()
	switch {
	case missing <= 0:
		mm.setShortage(0)
		mm.shortageSince = time.Time{}
		return
	case mm.shortageSince.IsZero():
		mm.shortageSince = now
	}
	if now.Sub(mm.shortageSince) >= shortageDelay && missing != mm.shortage {
		mm.setShortage(missing)
		mm.Logger.WithFields(logrus.Fields{"voters": mm.VoterCount - missing, "wanted": mm.VoterCount, "members": len(st.Members)}).
			Warn("the log has fewer voters than the settings ask for")
	}
}

// setShortage publishes the number of voters that the log lacks.
func (mm *MembershipManager) setShortage(n int) {
	if n == mm.shortage {
		return
	}
	mm.shortage = n
	gauge := new(expvar.Int)
	gauge.Set(int64(n))
	mm.Metrics.Counters.Set(missingVotersMetric, gauge)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reconcileMembers compares the members with the replicas that answer and makes at
// most one change, or replaces one voter.
func (mm *MembershipManager) reconcileMembers(ctx context.Context, st galenahead.LogStatus) {
	now := mm.Timers.Now()
	byName := map[galenahead.ReplicaName]galenahead.Member{}
	for _, m := range st.Members {
		byName[m.Name] = m
	}
	peers := mm.Directory.PeerInfo()
	for a, info := range peers {
		if now.Sub(mm.Directory.lastHeardFrom(a)) > aliveTimeout || info.Self.Incarnation == 0 {
			continue
		}
		m, ok := byName[info.Self.Name]
		if ok && m.Incarnation == info.Self.Incarnation && m.Address == info.Self.Address {
			continue
		}
		if !mm.Directory.confirmReplica(ctx, info.Self) {
			mm.Logger.WithFields(logrus.Fields{"replica": info.Self.Name, "address": a, "incarnation": info.Self.Incarnation}).
				Info("replica has not confirmed that it is at its address")
			continue
		}
		if ok {
			// The replica lost its data directory or has a new address. Its earlier
			// votes and acknowledgements no longer hold, so it must join again.
			mm.changeMember(ctx, galenahead.MemberRemove, m)
		} else {
			mm.changeMember(ctx, galenahead.MemberAddLearner, info.Self)
		}
		return
	}
	mm.reconcileVoters(ctx, now, st)
}

// changeMember makes one change of the members and reports whether it is committed.
func (mm *MembershipManager) changeMember(ctx context.Context, action galenahead.MemberAction, m galenahead.Member) bool {
	callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.ChangeMember(callCtx, galenahead.MemberChange{Action: action, Member: m})
	mm.Logger.WithFields(logrus.Fields{
		"action": action, "replica": m.Name, "address": m.Address, "incarnation": m.Incarnation, "error": errorText(err),
	}).Info("membership change of the log")
	return err == nil
}
