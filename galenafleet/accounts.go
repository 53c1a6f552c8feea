package galenafleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenajob"
)

// maxCountedAccounts bounds the accounts that have counters of their own: the first ones of the
// configuration. The others share one.
const maxCountedAccounts = 100

// applyAccounts passes the accounts whose limits and weights are in force to the ledger.
func (sess *ownerSession) applyAccounts() {
	accounts := sess.State.accounts()
	sess.ledger.SetAccounts(accounts)
	sess.rates.Keep(accounts)
	counted := map[galenahead.AccountName]bool{}
	for _, a := range accounts[:min(len(accounts), maxCountedAccounts)] {
		counted[a.Name] = true
	}
	sess.countedAccounts.Store(&counted)
}

// countAccount counts an event of an account.
func (sess *ownerSession) countAccount(name galenahead.AccountName, event string) {
	if name == "" {
		return
	}
	if !(*sess.countedAccounts.Load())[name] {
		name = "other"
	}
	sess.Metrics.Counters.Add("account_"+event+"_"+string(name), 1)
}

// withinRate counts a job against the rate of its account, and reports whether it is within it.
func (sess *ownerSession) withinRate(name galenahead.AccountName) bool {
	if name == "" {
		return true
	}
	return sess.rates.Submit(sess.Timers.Now(), name, sess.ledger.Weight(name))
}

// checkAccountLimit reports whether the limit of the account allows each work item, and each
// gang as a whole, to run at all, and otherwise returns the answer that rejects the job.
func (sess *ownerSession) checkAccountLimit(name galenahead.AccountName, spec *galenajob.Spec) (Reply, bool) {
	if name == "" {
		return Reply{}, true
	}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		need, what := step.Need, "a work item"
		if step.Gang {
			need, what = step.Need.Times(int64(step.Count)), "the gang"
		}
		if !sess.ledger.CanEver(name, need) {
			limit := sess.ledger.Standing(name).Limit
			return Reply{Outcome: OutcomeInvalid, Reason: fmt.Sprintf(
				"%s of step %d needs more than the account may have running: %d milli CPU, %d MB, %d GPU of %d, %d, %d",
				what, i, need.MilliCPU, need.MemoryMB, need.GPU, limit.MilliCPU, limit.MemoryMB, limit.GPU,
			)}, false
		}
	}
	return Reply{}, true
}

// unauthorizedReply answers a request of a queue that needs a key.
func unauthorizedReply(key galenaaccount.Digest) Reply {
	reason := "unknown key"
	if key == "" {
		reason = "no key"
	}
	return Reply{Outcome: OutcomeUnauthorized, Reason: reason + "; send Authorization: Bearer with a key of a client account"}
}

// takenReply answers a submission under an ID that another account has used.
func takenReply() Reply {
	return Reply{Outcome: OutcomeInvalid, Reason: "the ID is in use; submit the job under another one"}
}

// AccountView is a client account with what it has running and waiting.
type AccountView struct {
	Name   galenahead.AccountName `json:"name"`
	Weight float64                `json:"weight"`
	// Retired reports that the configuration does not name the account any more.
	Retired bool `json:"retired,omitempty"`
	// Running is what may run, and Limit what may run at most; zero means no limit.
	Running galenahead.Resources `json:"running"`
	Limit   galenahead.Resources `json:"limit"`
	// ShareMille is the account's largest part of the fleet of any resource, in thousandths of
	// the whole, and FairMille the part that its weight gives it when all is full.
	ShareMille int `json:"share_mille"`
	FairMille  int `json:"fair_mille"`
	// Waiting counts the jobs that have not started, of which the oldest has waited for
	// OldestWaitMS.
	Waiting      int   `json:"waiting"`
	OldestWaitMS int64 `json:"oldest_wait_ms"`
	// Rejected counts the jobs that were rejected since the owner's session began.
	Rejected int64 `json:"rejected"`
}

func (sess *ownerSession) viewAccounts() []AccountView {
	accounts := sess.State.accounts()
	if len(accounts) == 0 {
		return nil
	}
	waits := map[galenahead.AccountName]galenajob.AccountWait{}
	for _, sh := range sess.allShards() {
		sh.inspect(func(now time.Time, s *galenajob.Scheduler) {
			for name, w := range s.AccountWaits(now) {
				sum := waits[name]
				sum.Jobs += w.Jobs
				sum.Oldest = max(sum.Oldest, w.Oldest)
				waits[name] = sum
			}
		})
	}
	total := 0.0
	for _, a := range accounts {
		total += sess.ledger.Weight(a.Name)
	}
	present := sess.State.Config().Accounts
	out := make([]AccountView, 0, len(accounts))
	for _, a := range accounts {
		st, w := sess.ledger.Standing(a.Name), waits[a.Name]
		weight := sess.ledger.Weight(a.Name)
		out = append(out, AccountView{
			Name: a.Name, Weight: a.Weight, Running: st.Running.Add(st.Expected), Limit: a.Limit,
			Retired:    !slices.ContainsFunc(present, func(p galenaaccount.Account) bool { return p.Name == a.Name }),
			ShareMille: int(1000 * sess.ledger.Share(a.Name) * weight), FairMille: int(1000 * weight / total),
			Waiting: w.Jobs, OldestWaitMS: w.Oldest.Milliseconds(), Rejected: sess.rates.Rejected(a.Name),
		})
	}
	return out
}
