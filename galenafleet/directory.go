package galenafleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
)

// MethodLeaderInfo is the RPC method by which daemons ask each other for the
// leader and the members of the log.
const MethodLeaderInfo = "directory.where"

// LeaderInfo is what a control daemon knows about the leader and the members of
// the log.
type LeaderInfo struct {
	// Self is the replica of the daemon that sends the message.
	Self galenahead.Member `json:"self"`
	// DataCentre is where the daemon runs; empty if that is not known.
	DataCentre galenahead.DataCentre `json:"data_centre,omitempty"`
	// NoReplica reports that the daemon has no data directory. It never becomes a
	// member, and it names members but no leader.
	NoReplica bool `json:"no_replica,omitempty"`
	// Blank reports that the replica has no stored state.
	Blank bool `json:"blank"`
	// Leader is the address of the leader, or empty if it is unknown.
	Leader  string              `json:"leader"`
	Term    uint64              `json:"term"`
	Members []galenahead.Member `json:"members"`
	// Limits are those of callers' requests, if the configuration has others than the default.
	Limits *CallerLimits `json:"limits,omitempty"`
	// Silence is how long the leader has not heard from members that are silent. Only the
	// leader sends it, so that its successor need not start to count anew.
	Silence map[galenahead.ReplicaName]time.Duration `json:"silence,omitempty"`
}

// minReportedSilence is the shortest silence of a member that a leader reports: more than
// three intervals of the log's heartbeats.
const minReportedSilence = 400 * time.Millisecond

// Directory finds the leader of the log, starting from a few seed addresses.
type Directory struct {
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	// Self returns the description of this daemon that queries and answers carry;
	// nil for an entry.
	Self func() LeaderInfo
	// Announce makes this daemon query seeds that are not members even while it
	// knows the leader, so that these learn of the members from it.
	Announce bool

	mu    sync.Mutex
	seeds []string
	// lastHeard holds the daemons that are queried, with the time of the last
	// message from each. A member that was only named by another daemon has the
	// time at which it was first named.
	lastHeard map[string]time.Time
	leader    string
	term      uint64
	// leaderSuspected reports that the leader failed to answer as such since the last
	// query of all daemons.
	leaderSuspected bool
	// failedLeader and failedTerm are the leader that failed last, and fruitless counts
	// the searches in a row that found it again.
	failedLeader string
	failedTerm   uint64
	fruitless    int
	// loggedLeader and loggedTerm are the leader of the last log line.
	loggedLeader string
	loggedTerm   uint64
	wake         chan struct{}
	// peerInfo holds the last answer or query of each daemon, by address.
	peerInfo map[string]LeaderInfo
	// confirmedAt is when a daemon last named the leader.
	confirmedAt time.Time
	// members is the member list of the highest term that any daemon has named.
	members     []galenahead.Member
	membersTerm uint64
	announcedAt time.Time
	// silentSince holds the silent members that the leader named last.
	silentSince map[galenahead.ReplicaName]time.Time
	// waiting holds calls that end when a leader of a later term is known, by numbers up to
	// lastWaiting.
	waiting     map[uint64]termCancel
	lastWaiting uint64
	// querying holds the daemons whose query is under way, and queries the queries.
	querying map[string]bool
	queries  errgroup.Group
}

const (
	// searchInterval is how often daemons are queried while no leader is known,
	// and refreshInterval how often otherwise.
	searchInterval  = 100 * time.Millisecond
	refreshInterval = time.Second
	// minSearchPause and maxSearchPause bound the pause before a search that a failure
	// requests. It doubles with each search that finds the same leader again, so that
	// searches do not add to the load of a leader that is late.
	minSearchPause = 30 * time.Millisecond
	maxSearchPause = 200 * time.Millisecond
	// announceInterval is how often seeds that are not members are queried while a
	// leader is known.
	announceInterval = 5 * time.Second
	// queryTimeout bounds one query, and roundTimeout an entry's wait for the answers to all queries
	// of a round, so that silent daemons do not keep it from asking the others again. What control
	// daemons do about members counts on whole rounds.
	queryTimeout = 500 * time.Millisecond
	roundTimeout = 150 * time.Millisecond
	// forgetAfter is how long after its last message a daemon is dropped, unless it
	// is a seed or a member.
	forgetAfter = time.Minute
)

// SetSeeds replaces the seed addresses.
func (d *Directory) SetSeeds(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.seeds = slices.Clone(addresses)
}

func (d *Directory) init() {
	if d.lastHeard == nil {
		d.lastHeard = map[string]time.Time{}
		d.peerInfo = map[string]LeaderInfo{}
		d.wake = make(chan struct{}, 1)
	}
}

// Leader returns the address of the leader, if one is known.
func (d *Directory) Leader() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, d.leader != ""
}

// LeaderConfirmedAt returns when a daemon last named the leader.
func (d *Directory) LeaderConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmedAt
}

// ReportFailure reports that the daemon at address did not answer as the leader.
// All known daemons are queried soon.
func (d *Directory) ReportFailure(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.suspectLocked(address)
	if d.leader == address {
		d.leader = ""
	}
}

// ReportDelay reports that the daemon at address has not answered in time. It may be
// late or gone, so it stays the leader until it does not answer a query either, or
// another daemon leads.
func (d *Directory) ReportDelay(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.suspectLocked(address)
}

// suspectLocked requests a query of all known daemons. d.mu must be held.
func (d *Directory) suspectLocked(address string) {
	d.leaderSuspected = true
	d.failedLeader, d.failedTerm = address, d.term
	notify(d.wake)
}

// PeerInfo returns what each daemon last reported in an answer or query, by address.
func (d *Directory) PeerInfo() map[string]LeaderInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]LeaderInfo, len(d.peerInfo))
	for a, info := range d.peerInfo {
		out[a] = info
	}
	return out
}

// Members returns the newest member list of the log that a daemon has named, and
// its term. The list is empty if none is known.
func (d *Directory) Members() ([]galenahead.Member, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members, d.membersTerm
}

// Run queries daemons for the leader until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	defer func() { _ = d.queries.Wait() }()
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	for {
		pause := refreshInterval
		if !d.queryAll(ctx) {
			pause = searchInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.Timers.After(ctx, pause):
		case <-d.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-d.Timers.After(ctx, d.searchPause()):
			}
		}
	}
}

// searchPause returns the pause before a search that a failure of the leader has
// requested.
func (d *Directory) searchPause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	pause := minSearchPause
	for range d.fruitless {
		pause = min(2*pause, maxSearchPause)
	}
	return pause
}

// queryAll queries the daemons of queryTargets and reports whether a leader is
// known afterwards.
func (d *Directory) queryAll(ctx context.Context) bool {
	targets, search := d.queryTargets()
	ended := make(chan struct{}, len(targets))
	begun := 0
	for _, a := range targets {
		if !d.beginQuery(a) {
			continue // it has not answered the last one
		}
		begun++
		d.queries.Go(func() error {
			_, _ = d.query(ctx, a)
			d.endQuery(a)
			ended <- struct{}{}
			return nil
		})
	}
	var over <-chan time.Time
	if d.Self == nil {
		over = d.Timers.After(ctx, roundTimeout)
	}
	for waiting := true; waiting && begun > 0; {
		select {
		case <-ended:
			begun--
		case <-over:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if search && d.leader == d.failedLeader && d.term == d.failedTerm {
		d.fruitless++
	} else {
		d.fruitless = 0
	}
	return d.leader != ""
}

// beginQuery reports whether no query of the daemon is under way, and notes one.
func (d *Directory) beginQuery(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.querying[address] {
		return false
	}
	if d.querying == nil {
		d.querying = map[string]bool{}
	}
	d.querying[address] = true
	return true
}

func (d *Directory) endQuery(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.querying, address)
}

// queryTargets returns the addresses to query: the leader while it answers, with
// the seeds to announce this daemon to, otherwise all seeds and known daemons.
// search reports the latter.
func (d *Directory) queryTargets() (targets []string, search bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.leaderSuspected {
		return append(d.announceTargets(), d.leader), false
	}
	d.leaderSuspected = false
	out := slices.Clone(d.seeds)
	for _, m := range d.members {
		if !slices.Contains(out, m.Address) {
			out = append(out, m.Address)
		}
	}
	now := d.Timers.Now()
	for a, at := range d.lastHeard {
		if now.Sub(at) > forgetAfter {
			delete(d.lastHeard, a)
			delete(d.peerInfo, a)
			continue
		}
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out, true
}

// announceTargets returns the seeds that are not members, once in each
// announceInterval. d.mu must be held.
func (d *Directory) announceTargets() []string {
	now := d.Timers.Now()
	if !d.Announce || len(d.members) == 0 || now.Sub(d.announcedAt) < announceInterval {
		return nil
	}
	d.announcedAt = now
	var out []string
	for _, a := range d.seeds {
		isMember := slices.ContainsFunc(d.members, func(m galenahead.Member) bool { return m.Address == a })
		if !isMember && a != d.leader {
			out = append(out, a)
		}
	}
	return out
}

// confirmReplica queries the daemon that runs m and reports whether it still does. A
// query that the daemon has sent may arrive late, when another incarnation of the replica
// has taken its place.
func (d *Directory) confirmReplica(ctx context.Context, m galenahead.Member) bool {
	info, ok := d.query(ctx, m.Address)
	return ok && info.Self.Name == m.Name && info.Self.Incarnation == m.Incarnation && info.Self.Address == m.Address
}

// query queries the daemon at address, and returns its answer if there is one.
func (d *Directory) query(ctx context.Context, address string) (LeaderInfo, bool) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var info LeaderInfo
	err := d.RPCClient.Call(callCtx, address, MethodLeaderInfo, d.selfInfo(), &info)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		delete(d.peerInfo, address)
		if d.leader == address {
			d.leader, d.leaderSuspected = "", true
		}
		return LeaderInfo{}, false
	}
	now := d.Timers.Now()
	d.peerInfo[address] = info
	d.lastHeard[address] = now
	d.recordMembers(info)
	if info.Leader == address {
		d.recordSilence(now, info.Silence)
	}
	for _, m := range info.Members {
		if _, ok := d.lastHeard[m.Address]; !ok {
			d.lastHeard[m.Address] = now
		}
	}
	if info.Leader == "" {
		if d.leader == address {
			d.leader, d.leaderSuspected = "", true
		}
		return info, true
	}
	if info.Term >= d.term || d.leader == "" {
		if d.loggedLeader != info.Leader || d.loggedTerm != info.Term {
			d.loggedLeader, d.loggedTerm = info.Leader, info.Term
			d.Logger.WithField("leader", info.Leader).WithField("term", info.Term).Info("found the leader of the log")
		}
		d.leader, d.term, d.confirmedAt = info.Leader, info.Term, now
		d.endEarlier()
	}
	return info, true
}

// recordMembers stores the member list of info if it is the newest one. d.mu must
// be held.
func (d *Directory) recordMembers(info LeaderInfo) {
	if len(info.Members) > 0 && info.Term >= d.membersTerm {
		d.members, d.membersTerm = info.Members, info.Term
	}
}

// recordSilence replaces the silent members by those that the leader names now. d.mu must
// be held.
func (d *Directory) recordSilence(now time.Time, silence map[galenahead.ReplicaName]time.Duration) {
	d.silentSince = map[galenahead.ReplicaName]time.Time{}
	for name, s := range silence {
		d.silentSince[name] = now.Add(-s)
	}
}

// Silence returns the members that have been silent for minReportedSilence or longer, or nil
// if st is not the leader's.
func (d *Directory) Silence(st galenahead.LogStatus) map[galenahead.ReplicaName]time.Duration {
	var out map[galenahead.ReplicaName]time.Duration
	now := d.Timers.Now()
	for i := range st.Contacts {
		name := st.Members[i].Name
		if s := d.memberSilence(now, name, st.Contacts[i]); s >= minReportedSilence {
			if out == nil {
				out = map[galenahead.ReplicaName]time.Duration{}
			}
			out[name] = s
		}
	}
	return out
}

// memberSilence returns how long this leader and, if the member has not responded in its
// term, the leaders before it have not heard from a member.
func (d *Directory) memberSilence(now time.Time, name galenahead.ReplicaName, c galenahead.MemberContact) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.silentSince[name]
	if c.Responded || !ok {
		return c.Silence
	}
	return max(c.Silence, now.Sub(since))
}

func (d *Directory) selfInfo() LeaderInfo {
	if d.Self == nil {
		return LeaderInfo{}
	}
	return d.Self()
}

// Register adds the method that answers other daemons. It also stores the replica
// that a query describes, so that the leader learns of replicas that are not
// members yet.
func (d *Directory) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodLeaderInfo, func(_ context.Context, info LeaderInfo) (LeaderInfo, error) {
		if info.Self.Address != "" && !info.NoReplica {
			d.mu.Lock()
			d.init()
			d.peerInfo[info.Self.Address] = info
			d.lastHeard[info.Self.Address] = d.Timers.Now()
			d.recordMembers(info)
			d.mu.Unlock()
		}
		return d.selfInfo(), nil
	})
}

// lastHeardFrom returns the time of the last answer or query of a daemon, or the
// zero time if its last query failed.
func (d *Directory) lastHeardFrom(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.peerInfo[address]; !ok {
		return time.Time{}
	}
	return d.lastHeard[address]
}

// lastMessageFrom returns the time of the last message of a daemon, also if a query
// has failed since then, or the zero time if it is not known.
func (d *Directory) lastMessageFrom(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastHeard[address]
}

// dataCentreOf returns the data centre of a daemon, or an empty one if it is not known.
func (d *Directory) dataCentreOf(address string) galenahead.DataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peerInfo[address].DataCentre
}
