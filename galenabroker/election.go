package galenabroker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// rankDelay separates the start times of a service's candidates, so that
	// usually only one of them requests votes at a time.
	rankDelay = 100 * time.Millisecond
	// voteRequestInterval is the time between two requests for votes.
	voteRequestInterval = 250 * time.Millisecond
	// electionTimeout is how long a candidate requests votes before it releases
	// those that it got.
	electionTimeout = 1500 * time.Millisecond
	// maxElectionBackoff is the longest random wait after a failed election.
	maxElectionBackoff = time.Second
	// epochStride keeps the epochs of different entries distinct: an epoch is a
	// multiple of it plus the index of the candidate's entry.
	epochStride = 1024
)

// BrokerLease is the broker lease of a service. While it is valid, its holder is the
// only entry that may grant slots of the service.
type BrokerLease struct {
	Epoch galenahead.Epoch
	// Won is the time at which the election was won.
	Won time.Duration
	// Until is the time at which the lease expires unless it is renewed.
	Until time.Duration
}

// Elector is one entry's part in the broker elections of all services: it votes
// and runs as a candidate. It is deterministic: it takes no locks, starts no
// goroutines and reads no clocks.
type Elector struct {
	self      galenahead.EntryName
	index     int
	entries   []galenapeer.Entry
	started   time.Duration
	random    func() uint64
	renewedAt time.Duration
	// resigned is set when the entry no longer starts elections.
	resigned  bool
	elections map[galenahead.ServiceName]*election
	services  []galenahead.ServiceName
}

// election is the voting state for one service.
type election struct {
	// votedFor, votedEpoch and voteExpires describe the vote that this entry
	// granted.
	votedFor    galenahead.EntryName
	votedEpoch  galenahead.Epoch
	voteExpires time.Duration
	// newestEpoch is the newest epoch that is known to have got a vote or won an
	// election, wonEpoch the newest one that is known to have won. They differ
	// after a failed election, which must not depose the current broker.
	newestEpoch galenahead.Epoch
	wonEpoch    galenahead.Epoch
	// brokerUntil is the time until which the last known broker is assumed to
	// hold its lease.
	brokerUntil time.Duration

	stage electionStage
	lease BrokerLease
	// votes holds, by voter, the send time of the last request that the voter
	// granted.
	votes          map[galenahead.EntryName]time.Duration
	candidateSince time.Duration
	requestedAt    time.Duration
	electionAt     time.Duration
}

type electionStage int

const (
	// stageFollower follows a broker or waits until its lease has ended.
	stageFollower electionStage = iota
	// stageWaiting starts an election at electionAt.
	stageWaiting
	// stageCandidate collects votes.
	stageCandidate
	// stageBroker holds the lease.
	stageBroker
)

// NewElector returns the elector of entry self, whose process starts at now.
func NewElector(now galenapeer.Instant, self galenahead.EntryName, entries []galenapeer.Entry, random func() uint64) *Elector {
	return &Elector{
		self:      self,
		index:     slices.IndexFunc(entries, func(e galenapeer.Entry) bool { return e.Name == self }),
		entries:   entries,
		started:   now.Mono,
		random:    random,
		elections: make(map[galenahead.ServiceName]*election),
	}
}

// AddService adds service to the elections. This entry becomes a candidate unless a
// broker makes itself known first.
func (e *Elector) AddService(now galenapeer.Instant, service galenahead.ServiceName) {
	e.election(now, service)
}

// Lease returns this entry's broker lease of service, and whether it is valid.
func (e *Elector) Lease(now galenapeer.Instant, service galenahead.ServiceName) (BrokerLease, bool) {
	el, ok := e.elections[service]
	if !ok {
		return BrokerLease{}, false
	}
	e.expire(now, el)
	return el.lease, el.stage == stageBroker
}

// Tick advances the elections and returns the items to send to every other
// entry.
func (e *Elector) Tick(now galenapeer.Instant) []LeaseItem {
	renew := now.Mono-e.renewedAt >= RenewInterval
	if renew {
		e.renewedAt = now.Mono
	}
	var items []LeaseItem
	for _, service := range e.services {
		item, ok := e.step(now, service, e.elections[service], renew)
		if !ok {
			continue
		}
		items = append(items, item)
		if item.Kind != LeaseRelease {
			e.voteForSelf(now, item)
		}
	}
	return items
}

func (e *Elector) step(now galenapeer.Instant, service galenahead.ServiceName, el *election, renew bool) (LeaseItem, bool) {
	e.expire(now, el)
	switch el.stage {
	case stageFollower:
		if now.Mono >= max(el.brokerUntil, el.voteExpires) {
			el.stage = stageWaiting
			// Entries that start together also become candidates in the order of
			// their ranks, because their delays begin at the end of RestartSilence.
			el.electionAt = max(now.Mono, e.started+RestartSilence) + e.rank(service)*rankDelay + e.jitter(rankDelay/2)
		}
	case stageWaiting:
		if now.Mono < max(el.brokerUntil, el.voteExpires) {
			el.stage = stageFollower
		} else if now.Mono >= el.electionAt && e.mayVote(now) && !e.resigned {
			e.startElection(now, el)
			return LeaseItem{Service: service, Epoch: el.lease.Epoch, Kind: LeaseRequestVote}, true
		}
	case stageCandidate:
		if now.Mono-el.candidateSince > electionTimeout || now.Mono < el.brokerUntil {
			return e.stepDown(now, service, el), true
		}
		if now.Mono-el.requestedAt >= voteRequestInterval {
			el.requestedAt = now.Mono
			return LeaseItem{Service: service, Epoch: el.lease.Epoch, Kind: LeaseRequestVote}, true
		}
	case stageBroker:
		if renew {
			return LeaseItem{Service: service, Epoch: el.lease.Epoch, Kind: LeaseRenew}, true
		}
	}
	return LeaseItem{}, false
}

// Vote handles the items of a candidate or broker and returns the votes.
func (e *Elector) Vote(now galenapeer.Instant, q LeaseRequest) LeaseReply {
	r := LeaseReply{From: e.self, Votes: make([]LeaseVote, 0, len(q.Items))}
	for _, item := range q.Items {
		r.Votes = append(r.Votes, e.voteOn(now, q.From, item))
	}
	return r
}

func (e *Elector) voteOn(now galenapeer.Instant, from galenahead.EntryName, item LeaseItem) LeaseVote {
	el := e.election(now, item.Service)
	v := LeaseVote{Service: item.Service, Epoch: item.Epoch}
	if item.Kind == LeaseRelease {
		el.releaseVote(from, item.Epoch)
		return v
	}
	if item.Kind == LeaseRenew && item.Epoch >= el.wonEpoch {
		el.wonEpoch = item.Epoch
		el.newestEpoch = max(el.newestEpoch, item.Epoch)
		el.brokerUntil = now.Mono + BrokerTTL
	}
	v.Granted = e.mayVote(now) && el.mayGrantVote(now, from, item.Epoch)
	if v.Granted {
		el.votedFor, el.votedEpoch = from, item.Epoch
		el.newestEpoch = item.Epoch
		el.voteExpires = now.Mono + BrokerTTL
	}
	known := el.wonEpoch
	if item.Kind == LeaseRequestVote {
		known = el.newestEpoch
	}
	if known > item.Epoch {
		v.Newest = known
	}
	return v
}

// CountVotes handles the votes of a peer for a request that was sent at sent.
func (e *Elector) CountVotes(sent, now galenapeer.Instant, r LeaseReply) {
	for _, v := range r.Votes {
		if el, ok := e.elections[v.Service]; ok {
			e.countVote(sent, now, el, r.From, v)
		}
	}
}

// Abandon ends the lease of the given epoch, if it is still current.
func (e *Elector) Abandon(now galenapeer.Instant, service galenahead.ServiceName, epoch galenahead.Epoch) {
	if el, ok := e.elections[service]; ok && el.lease.Epoch == epoch {
		e.backOff(now, el)
	}
}

// Resign permanently ends every lease and candidacy of this entry. It returns the
// items that release the voters' votes.
func (e *Elector) Resign(now galenapeer.Instant) []LeaseItem {
	e.resigned = true
	var items []LeaseItem
	for _, service := range e.services {
		el := e.elections[service]
		if el.stage == stageCandidate || el.stage == stageBroker {
			items = append(items, e.stepDown(now, service, el))
		}
	}
	return items
}

func (e *Elector) countVote(sent, now galenapeer.Instant, el *election, from galenahead.EntryName, v LeaseVote) {
	e.expire(now, el)
	if el.stage != stageCandidate && el.stage != stageBroker || v.Epoch != el.lease.Epoch {
		return
	}
	if v.Newest > el.lease.Epoch {
		// The voter knows a newer epoch, so it won't vote for this one.
		el.newestEpoch = v.Newest
		e.stepDown(now, v.Service, el)
		return
	}
	if !v.Granted {
		return
	}
	el.votes[from] = max(el.votes[from], sent.Mono)
	until, ok := e.leaseEnd(el)
	if !ok || until <= now.Mono {
		return
	}
	if el.stage == stageCandidate {
		el.stage = stageBroker
		el.lease.Won = now.Mono
		// Makes the next tick send a renewal, which announces the new broker to
		// all entries.
		e.renewedAt = now.Mono - RenewInterval
	}
	el.lease.Until = until
}

func (e *Elector) voteForSelf(now galenapeer.Instant, item LeaseItem) {
	r := e.Vote(now, LeaseRequest{From: e.self, Items: []LeaseItem{item}})
	e.CountVotes(now, now, r)
}

// leaseEnd returns the time at which the lease ends. Each vote is kept for at
// least BrokerTTL from the sending of the request, so the lease lasts as long as
// the votes of a majority.
func (e *Elector) leaseEnd(el *election) (time.Duration, bool) {
	sent := make([]time.Duration, 0, len(el.votes))
	for _, at := range el.votes {
		sent = append(sent, at)
	}
	majority := len(e.entries)/2 + 1
	if len(sent) < majority {
		return 0, false
	}
	slices.SortFunc(sent, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return sent[majority-1] + BrokerTTL - rateMargin, true
}

func (e *Elector) startElection(now galenapeer.Instant, el *election) {
	n := max(uint64(el.newestEpoch)/epochStride+1, uint64(now.Wall.UnixMilli()))
	el.stage = stageCandidate
	el.lease = BrokerLease{Epoch: galenahead.Epoch(n*epochStride + uint64(e.index))}
	el.votes = make(map[galenahead.EntryName]time.Duration)
	el.candidateSince, el.requestedAt = now.Mono, now.Mono
}

func (e *Elector) stepDown(now galenapeer.Instant, service galenahead.ServiceName, el *election) LeaseItem {
	item := LeaseItem{Service: service, Epoch: el.lease.Epoch, Kind: LeaseRelease}
	el.releaseVote(e.self, el.lease.Epoch)
	e.backOff(now, el)
	return item
}

// expire ends a lease that was not renewed in time. The lease can't be renewed
// afterwards.
func (e *Elector) expire(now galenapeer.Instant, el *election) {
	if el.stage == stageBroker && now.Mono >= el.lease.Until {
		e.backOff(now, el)
	}
}

// backOff ends the lease or candidacy and schedules the next election after a
// random delay.
func (e *Elector) backOff(now galenapeer.Instant, el *election) {
	el.stage = stageWaiting
	el.lease = BrokerLease{}
	el.votes = nil
	el.electionAt = now.Mono + e.jitter(maxElectionBackoff)
}

func (e *Elector) mayVote(now galenapeer.Instant) bool {
	return now.Mono-e.started >= RestartSilence
}

func (e *Elector) election(now galenapeer.Instant, service galenahead.ServiceName) *election {
	el, ok := e.elections[service]
	if !ok {
		// Leaves an existing broker the time to send a renewal.
		el = &election{brokerUntil: now.Mono + RenewInterval + rankDelay}
		e.elections[service] = el
		e.services = append(e.services, service)
		slices.Sort(e.services)
	}
	return el
}

// rank returns the entry's position in the order of candidates for service, which
// differs between services.
func (e *Elector) rank(service galenahead.ServiceName) time.Duration {
	own := rendezvousWeight(service, e.self)
	n := time.Duration(0)
	for _, p := range e.entries {
		if rendezvousWeight(service, p.Name) > own {
			n++
		}
	}
	return n
}

func (e *Elector) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.random() % uint64(limit))
}

func (el *election) mayGrantVote(now galenapeer.Instant, from galenahead.EntryName, epoch galenahead.Epoch) bool {
	if epoch == el.votedEpoch && from == el.votedFor {
		return epoch == el.newestEpoch
	}
	free := now.Mono >= el.voteExpires || from == el.votedFor
	return free && epoch >= el.newestEpoch && epoch > el.votedEpoch
}

func (el *election) releaseVote(from galenahead.EntryName, epoch galenahead.Epoch) {
	if el.votedFor == from && el.votedEpoch == epoch {
		el.votedFor = ""
		el.voteExpires = 0
		el.brokerUntil = 0
	}
}

func rendezvousWeight(service galenahead.ServiceName, entry galenahead.EntryName) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(entry))
}
