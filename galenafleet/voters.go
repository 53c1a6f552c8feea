package galenafleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// voterTimeout returns how long after its last message a voter is replaced. It leaves half
// of CatchUp for the changes of the members, which need the votes that are left.
func (mm *MembershipManager) voterTimeout() time.Duration {
	if mm.CatchUp == 0 {
		return maxVoterTimeout
	}
	return min(max(mm.CatchUp/2, minVoterTimeout), maxVoterTimeout)
}

// reconcileVoters promotes a learner if the log lacks voters that can be heard, and then
// removes a lost one, so that the next loss finds enough of them.
func (mm *MembershipManager) reconcileVoters(ctx context.Context, now time.Time, st galenahead.LogStatus) {
	var voters, lost, learners []galenahead.Member
	for i, m := range st.Members {
		switch {
		case m.Voter && mm.isLost(now, st, i):
			lost = append(lost, m)
		case m.Voter:
			voters = append(voters, m)
		case now.Sub(mm.Directory.lastHeardFrom(m.Address)) <= aliveTimeout:
			learners = append(learners, m)
		}
	}
	mm.sortBySpread(learners, voters)
	switch {
	case len(voters) < mm.VoterCount && mm.promoteOne(ctx, learners):
		if len(lost) > 0 && len(voters)+len(lost) >= mm.VoterCount {
			mm.changeMember(ctx, galenahead.MemberRemove, lost[0])
		}
	case len(lost) > 0 && len(voters)+len(lost) > mm.VoterCount:
		mm.changeMember(ctx, galenahead.MemberRemove, lost[0])
	case len(lost) == 0 && mm.SpreadVoters:
		mm.spreadVoters(ctx, voters, learners)
	}
}

// promoteOne promotes the first of the learners that can be promoted.
func (mm *MembershipManager) promoteOne(ctx context.Context, learners []galenahead.Member) bool {
	return slices.ContainsFunc(learners, func(m galenahead.Member) bool {
		return mm.changeMember(ctx, galenahead.MemberPromote, m)
	})
}

// spreadVoters replaces a voter by a learner of a data centre that has at least two voters
// less. learners are in the order of sortBySpread.
func (mm *MembershipManager) spreadVoters(ctx context.Context, voters, learners []galenahead.Member) {
	if len(learners) == 0 {
		return
	}
	count := mm.votersByDataCentre(voters)
	fewest := count[mm.dataCentre(learners[0])]
	i := slices.IndexFunc(voters, func(m galenahead.Member) bool {
		return m.Address != mm.Self.Address && count[mm.dataCentre(m)] >= fewest+2
	})
	if i < 0 || (len(voters) <= mm.VoterCount && !mm.promoteOne(ctx, learners[:1])) {
		return
	}
	mm.changeMember(ctx, galenahead.MemberRemove, voters[i])
}

// sortBySpread sorts the learners of data centres with the fewest voters first.
func (mm *MembershipManager) sortBySpread(learners, voters []galenahead.Member) {
	count := mm.votersByDataCentre(voters)
	slices.SortStableFunc(learners, func(a, b galenahead.Member) int {
		return cmp.Compare(count[mm.dataCentre(a)], count[mm.dataCentre(b)])
	})
}

func (mm *MembershipManager) votersByDataCentre(voters []galenahead.Member) map[galenahead.DataCentre]int {
	count := map[galenahead.DataCentre]int{}
	for _, m := range voters {
		count[mm.dataCentre(m)]++
	}
	return count
}

// dataCentre returns the data centre of a replica, or an empty one if it is not known.
func (mm *MembershipManager) dataCentre(m galenahead.Member) galenahead.DataCentre {
	if m.Address == mm.Self.Address {
		return mm.DataCentre
	}
	return mm.Directory.dataCentreOf(m.Address)
}

// isLost reports whether member i of the log, a voter, has been silent for the voter
// timeout: in the log, and towards the directory, which a replica answers also while its
// disk is late.
func (mm *MembershipManager) isLost(now time.Time, st galenahead.LogStatus, i int) bool {
	m := st.Members[i]
	if m.Address == mm.Self.Address || i >= len(st.Contacts) || st.Contacts[i].Silence < minReportedSilence {
		return false
	}
	silence := mm.Directory.memberSilence(now, m.Name, st.Contacts[i])
	return min(silence, now.Sub(mm.Directory.lastMessageFrom(m.Address))) > mm.voterTimeout()
}
