package galenafleet

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

// Keeper keeps the members of the log: it starts the log of a new deployment,
// and while its replica leads, it admits daemons that hold a blank disk and
// replaces voters that are gone.
type Keeper struct {
	Self      galenahead.Member
	Log       Log
	Directory *Directory
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	// Bootstrap tells that the whole deployment starts for the first time.
	Bootstrap bool
	// Seeds are the addresses of the first voters.
	Seeds []string
	// Voters is how many voters bear the losses that the settings name.
	Voters int
}

const (
	// reconcileInterval is how often the members are compared with the daemons.
	reconcileInterval = 300 * time.Millisecond
	// voterTimeout is after how long without an answer a voter is replaced, if
	// another replica can take its place.
	voterTimeout = 8 * time.Second
	// memberChangeTimeout bounds one change of the members.
	memberChangeTimeout = time.Second
	// aliveWithin is how fresh a replica's answer must be to admit it.
	aliveWithin = 3 * time.Second
)

// RoleBlank is the role of a replica without state, as its log reports it.
const roleBlank = "blank"

// Run keeps the members until ctx ends.
func (mm *Keeper) Run(ctx context.Context) error {
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

// bootstrap starts the log once all seeds are there and blank. Only the first
// seed does, so that there is one log.
func (mm *Keeper) bootstrap(ctx context.Context) {
	seeds := slices.Sorted(slices.Values(mm.Seeds))
	if len(seeds) == 0 || seeds[0] != mm.Self.Address {
		return
	}
	answers := mm.Directory.Answers()
	var members []galenahead.Member
	for _, a := range seeds {
		w, ok := answers[a]
		if !ok || !w.Blank {
			return
		}
		m := w.Self
		m.Voter = true
		members = append(members, m)
	}
	call, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.Bootstrap(call, members)
	mm.Logger.WithField("members", len(members)).WithField("error", errorText(err)).Info("log of a new deployment started")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reconcileMembers makes at most one change of the members.
func (mm *Keeper) reconcileMembers(ctx context.Context, st galenahead.LogStatus) {
	now := mm.Timers.Now()
	voters := 0
	byName := map[galenahead.ReplicaName]galenahead.Member{}
	for _, m := range st.Members {
		byName[m.Name] = m
		if m.Voter {
			voters++
		}
	}
	answers := mm.Directory.Answers()
	for a, w := range answers {
		if now.Sub(mm.Directory.lastHeardFrom(a)) > aliveWithin || w.Self.Incarnation == 0 {
			continue
		}
		m, ok := byName[w.Self.Name]
		switch {
		case !ok:
			mm.changeMember(ctx, galenahead.MemberAddLearner, w.Self)
			return
		case m.Incarnation != w.Self.Incarnation || m.Address != w.Self.Address:
			// The replica lost its disk or moved: what it promised before is void.
			mm.changeMember(ctx, galenahead.MemberRemove, m)
			return
		}
	}
	gone, hasGone := mm.lostVoter(now, st)
	for _, m := range st.Members {
		if m.Voter || now.Sub(mm.Directory.lastHeardFrom(m.Address)) > aliveWithin {
			continue
		}
		if voters < mm.Voters || hasGone {
			mm.changeMember(ctx, galenahead.MemberPromote, m)
			return
		}
	}
	if hasGone && voters > mm.Voters {
		mm.changeMember(ctx, galenahead.MemberRemove, gone)
	}
}

// lostVoter returns a voter that has not been heard of for long.
func (mm *Keeper) lostVoter(now time.Time, st galenahead.LogStatus) (galenahead.Member, bool) {
	for _, m := range st.Members {
		if m.Voter && m.Address != mm.Self.Address && now.Sub(mm.Directory.lastHeardFrom(m.Address)) > voterTimeout {
			return m, true
		}
	}
	return galenahead.Member{}, false
}

func (mm *Keeper) changeMember(ctx context.Context, action galenahead.MemberAction, m galenahead.Member) {
	call, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := mm.Log.ChangeMember(call, galenahead.MemberChange{Action: action, Member: m})
	mm.Logger.WithFields(logrus.Fields{
		"action": action, "replica": m.Name, "address": m.Address, "incarnation": m.Incarnation, "error": errorText(err),
	}).Info("members of the log")
}
