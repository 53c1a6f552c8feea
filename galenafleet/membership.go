package galenafleet

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

// MembershipManager manages the members of the log. It bootstraps the log of a new
// deployment. While its replica is the leader, it adds replicas that are not
// members and replaces voters that are lost.
type MembershipManager struct {
	Self      galenahead.Member
	Log       Log
	Directory *Directory
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	// Bootstrap allows a blank replica to bootstrap the log; it is set when the whole
	// deployment starts for the first time.
	Bootstrap bool
	// Seeds are the addresses of the first voters.
	Seeds []string
	// VoterCount is the number of voters that the log should have: enough to tolerate
	// the failures that the settings allow for.
	VoterCount int
}

const (
	// reconcileInterval is how often the members are compared with the replicas that
	// answer.
	reconcileInterval = 300 * time.Millisecond
	// voterTimeout is how long after its last message a voter is replaced, if another
	// replica can take its place.
	voterTimeout = 8 * time.Second
	// memberChangeTimeout bounds a bootstrap or one change of the members.
	memberChangeTimeout = time.Second
	// aliveTimeout is the highest age of a replica's last message at which the replica
	// counts as alive.
	aliveTimeout = 3 * time.Second
)

// roleBlank is the role that the log reports for a replica without stored state.
const roleBlank = "blank"

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
		case st.Role == roleBlank && mm.Bootstrap:
			mm.bootstrap(ctx)
		case mm.Log.HoldsLease():
			mm.reconcileMembers(ctx, st)
		}
	}
}

// bootstrap bootstraps the log once all seeds answer and are blank. Only the seed
// with the lowest address does so, so that there is only one log.
func (mm *MembershipManager) bootstrap(ctx context.Context) {
	seeds := slices.Sorted(slices.Values(mm.Seeds))
	if len(seeds) == 0 || seeds[0] != mm.Self.Address {
		return
	}
	peers := mm.Directory.PeerInfo()
	var members []galenahead.Member
	for _, a := range seeds {
		info, ok := peers[a]
		if !ok || !info.Blank {
			return
		}
		m := info.Self
		m.Voter = true
		members = append(members, m)
	}
	callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.Bootstrap(callCtx, members)
	mm.Logger.WithField("members", len(members)).WithField("error", errorText(err)).Info("bootstrap of the log of a new deployment")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reconcileMembers compares the members with the replicas that answer and makes at
// most one change.
func (mm *MembershipManager) reconcileMembers(ctx context.Context, st galenahead.LogStatus) {
	now := mm.Timers.Now()
	voters := 0
	byName := map[galenahead.ReplicaName]galenahead.Member{}
	for _, m := range st.Members {
		byName[m.Name] = m
		if m.Voter {
			voters++
		}
	}
	peers := mm.Directory.PeerInfo()
	for a, info := range peers {
		if now.Sub(mm.Directory.lastHeardFrom(a)) > aliveTimeout || info.Self.Incarnation == 0 {
			continue
		}
		m, ok := byName[info.Self.Name]
		switch {
		case !ok:
			mm.changeMember(ctx, galenahead.MemberAddLearner, info.Self)
			return
		case m.Incarnation != info.Self.Incarnation || m.Address != info.Self.Address:
			// The replica lost its data directory or has a new address. Its earlier
			// votes and acknowledgements no longer hold, so it must join again.
			mm.changeMember(ctx, galenahead.MemberRemove, m)
			return
		}
	}
	lost, hasLost := mm.lostVoter(now, st)
	for _, m := range st.Members {
		if m.Voter || now.Sub(mm.Directory.lastHeardFrom(m.Address)) > aliveTimeout {
			continue
		}
		if voters < mm.VoterCount || hasLost {
			mm.changeMember(ctx, galenahead.MemberPromote, m)
			return
		}
	}
	if hasLost && voters > mm.VoterCount {
		mm.changeMember(ctx, galenahead.MemberRemove, lost)
	}
}

// lostVoter returns a voter whose last message is older than voterTimeout, if there
// is one.
func (mm *MembershipManager) lostVoter(now time.Time, st galenahead.LogStatus) (galenahead.Member, bool) {
	for _, m := range st.Members {
		if m.Voter && m.Address != mm.Self.Address && now.Sub(mm.Directory.lastHeardFrom(m.Address)) > voterTimeout {
			return m, true
		}
	}
	return galenahead.Member{}, false
}

func (mm *MembershipManager) changeMember(ctx context.Context, action galenahead.MemberAction, m galenahead.Member) {
	callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.ChangeMember(callCtx, galenahead.MemberChange{Action: action, Member: m})
	mm.Logger.WithFields(logrus.Fields{
		"action": action, "replica": m.Name, "address": m.Address, "incarnation": m.Incarnation, "error": errorText(err),
	}).Info("membership change of the log")
}
