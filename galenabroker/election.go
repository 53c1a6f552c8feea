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
	// rankDelay staggers the candidates of a service, so that usually one of
	// them asks for votes alone.
	rankDelay = 100 * time.Millisecond
	// askInterval is the time between two requests for votes.
	askInterval = 250 * time.Millisecond
	// askLimit is how long a candidate asks before it gives its votes back.
	askLimit = 1500 * time.Millisecond
	// askBackoff is the longest random wait after a failed election.
	askBackoff = time.Second
	// epochStride separates the epochs of different entries.
	epochStride = 1024
)

// Tenure is the right to broker a service.
type Tenure struct {
	Epoch galenahead.Epoch
	// Won is when the election was won.
	Won time.Duration
	// Until is when the lease ends unless it is renewed.
	Until time.Duration
}

// Elector elects the brokers: it votes, and stands for election. It is a
// deterministic core without locks, goroutines or clock reads.
type Elector struct {
	self    galenahead.EntryName
	index   int
	entries []galenapeer.Entry
	started time.Duration
	random  func() uint64
	renewed time.Duration
	// retiring tells that the entry stands for election no more.
	retiring bool
	offices  map[galenahead.ServiceName]*office
	names    []galenahead.ServiceName
}

type office struct {
	// vote, voteEpoch and voteUntil are the vote given to an entry.
	vote      galenahead.EntryName
	voteEpoch galenahead.Epoch
	voteUntil time.Duration
	// newest is the newest epoch voted for or held, held the newest one that
	// won an election. They differ after a failed election, which must not
	// depose a broker.
	newest galenahead.Epoch
	held   galenahead.Epoch
	// heardUntil is when the last broker heard of may have lost its lease.
	heardUntil time.Duration

	stage  stage
	tenure Tenure
	// votes holds the send time of the last request that each voter granted.
	votes  map[galenahead.EntryName]time.Duration
	began  time.Duration
	asked  time.Duration
	nextAt time.Duration
}

type stage int

const (
	// following has a broker or waits for its lease to end.
	following stage = iota
	// waiting asks for votes at nextAt.
	waiting
	// asking collects votes.
	asking
	// holding has the lease.
	holding
)

// NewElector returns the elector of entry self, whose process starts at now.
func NewElector(now galenapeer.Instant, self galenahead.EntryName, entries []galenapeer.Entry, random func() uint64) *Elector {
	return &Elector{
		self:    self,
		index:   slices.IndexFunc(entries, func(e galenapeer.Entry) bool { return e.Name == self }),
		entries: entries,
		started: now.Mono,
		random:  random,
		offices: make(map[galenahead.ServiceName]*office),
	}
}

// Learn makes service known; an election starts unless a broker is heard of.
func (e *Elector) Learn(now galenapeer.Instant, service galenahead.ServiceName) {
	e.office(now, service)
}

// Tenure returns the own lease of service, if it holds.
func (e *Elector) Tenure(now galenapeer.Instant, service galenahead.ServiceName) (Tenure, bool) {
	o, ok := e.offices[service]
	if !ok {
		return Tenure{}, false
	}
	e.lapse(now, o)
	return o.tenure, o.stage == holding
}

// Tick returns the items to send to every other entry now.
func (e *Elector) Tick(now galenapeer.Instant) []LeaseItem {
	renew := now.Mono-e.renewed >= RenewInterval
	if renew {
		e.renewed = now.Mono
	}
	var items []LeaseItem
	for _, s := range e.names {
		item, ok := e.step(now, s, e.offices[s], renew)
		if !ok {
			continue
		}
		items = append(items, item)
		if item.Kind != LeaseRelease {
			e.countOwn(now, item)
		}
	}
	return items
}

func (e *Elector) step(now galenapeer.Instant, s galenahead.ServiceName, o *office, renew bool) (LeaseItem, bool) {
	e.lapse(now, o)
	switch o.stage {
	case following:
		if now.Mono >= max(o.heardUntil, o.voteUntil) {
			o.stage = waiting
			// Entries that start together stand in order of rank too.
			o.nextAt = max(now.Mono, e.started+RestartSilence) + e.rank(s)*rankDelay + e.jitter(rankDelay/2)
		}
	case waiting:
		if now.Mono < max(o.heardUntil, o.voteUntil) {
			o.stage = following
		} else if now.Mono >= o.nextAt && e.mayVote(now) && !e.retiring {
			e.stand(now, o)
			return LeaseItem{Service: s, Epoch: o.tenure.Epoch, Kind: LeaseAsk}, true
		}
	case asking:
		if now.Mono-o.began > askLimit || now.Mono < o.heardUntil {
			return e.stepDown(now, s, o), true
		}
		if now.Mono-o.asked >= askInterval {
			o.asked = now.Mono
			return LeaseItem{Service: s, Epoch: o.tenure.Epoch, Kind: LeaseAsk}, true
		}
	case holding:
		if renew {
			return LeaseItem{Service: s, Epoch: o.tenure.Epoch, Kind: LeaseHeld}, true
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
	o := e.office(now, item.Service)
	v := LeaseVote{Service: item.Service, Epoch: item.Epoch}
	if item.Kind == LeaseRelease {
		o.release(from, item.Epoch)
		return v
	}
	if item.Kind == LeaseHeld && item.Epoch >= o.held {
		o.held = item.Epoch
		o.newest = max(o.newest, item.Epoch)
		o.heardUntil = now.Mono + BrokerTTL
	}
	v.Granted = e.mayVote(now) && o.grants(now, from, item.Epoch)
	if v.Granted {
		o.vote, o.voteEpoch = from, item.Epoch
		o.newest = item.Epoch
		o.voteUntil = now.Mono + BrokerTTL
	}
	known := o.held
	if item.Kind == LeaseAsk {
		known = o.newest
	}
	if known > item.Epoch {
		v.Newest = known
	}
	return v
}

// Count handles the votes of a peer for a request that was sent at sent.
func (e *Elector) Count(sent, now galenapeer.Instant, r LeaseReply) {
	for _, v := range r.Votes {
		if o, ok := e.offices[v.Service]; ok {
			e.count(sent, now, o, r.From, v)
		}
	}
}

// Abandon gives the lease of one epoch up.
func (e *Elector) Abandon(now galenapeer.Instant, service galenahead.ServiceName, epoch galenahead.Epoch) {
	if o, ok := e.offices[service]; ok && o.tenure.Epoch == epoch {
		e.retire(now, o)
	}
}

// Resign gives every lease and candidacy up for good and returns the items that
// tell the voters.
func (e *Elector) Resign(now galenapeer.Instant) []LeaseItem {
	e.retiring = true
	var items []LeaseItem
	for _, s := range e.names {
		o := e.offices[s]
		if o.stage == asking || o.stage == holding {
			items = append(items, e.stepDown(now, s, o))
		}
	}
	return items
}

func (e *Elector) count(sent, now galenapeer.Instant, o *office, from galenahead.EntryName, v LeaseVote) {
	e.lapse(now, o)
	if o.stage != asking && o.stage != holding || v.Epoch != o.tenure.Epoch {
		return
	}
	if v.Newest > o.tenure.Epoch {
		// A voter knows a newer epoch and will ignore this one.
		o.newest = v.Newest
		e.stepDown(now, v.Service, o)
		return
	}
	if !v.Granted {
		return
	}
	o.votes[from] = max(o.votes[from], sent.Mono)
	until, ok := e.until(o)
	if !ok || until <= now.Mono {
		return
	}
	if o.stage == asking {
		o.stage = holding
		o.tenure.Won = now.Mono
		// The next tick tells all entries at once.
		e.renewed = now.Mono - RenewInterval
	}
	o.tenure.Until = until
}

func (e *Elector) countOwn(now galenapeer.Instant, item LeaseItem) {
	r := e.Vote(now, LeaseRequest{From: e.self, Items: []LeaseItem{item}})
	e.Count(now, now, r)
}

// until returns the end of the lease: a majority of voters keeps its vote for
// BrokerTTL from the sending of the request at least.
func (e *Elector) until(o *office) (time.Duration, bool) {
	sent := make([]time.Duration, 0, len(o.votes))
	for _, at := range o.votes {
		sent = append(sent, at)
	}
	majority := len(e.entries)/2 + 1
	if len(sent) < majority {
		return 0, false
	}
	slices.SortFunc(sent, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return sent[majority-1] + BrokerTTL - rateMargin, true
}

func (e *Elector) stand(now galenapeer.Instant, o *office) {
	n := max(uint64(o.newest)/epochStride+1, uint64(now.Wall.UnixMilli()))
	o.stage = asking
	o.tenure = Tenure{Epoch: galenahead.Epoch(n*epochStride + uint64(e.index))}
	o.votes = make(map[galenahead.EntryName]time.Duration)
	o.began, o.asked = now.Mono, now.Mono
}

func (e *Elector) stepDown(now galenapeer.Instant, s galenahead.ServiceName, o *office) LeaseItem {
	item := LeaseItem{Service: s, Epoch: o.tenure.Epoch, Kind: LeaseRelease}
	o.release(e.self, o.tenure.Epoch)
	e.retire(now, o)
	return item
}

// lapse ends a lease that was not renewed in time, for good.
func (e *Elector) lapse(now galenapeer.Instant, o *office) {
	if o.stage == holding && now.Mono >= o.tenure.Until {
		e.retire(now, o)
	}
}

func (e *Elector) retire(now galenapeer.Instant, o *office) {
	o.stage = waiting
	o.tenure = Tenure{}
	o.votes = nil
	o.nextAt = now.Mono + e.jitter(askBackoff)
}

func (e *Elector) mayVote(now galenapeer.Instant) bool {
	return now.Mono-e.started >= RestartSilence
}

func (e *Elector) office(now galenapeer.Instant, s galenahead.ServiceName) *office {
	o, ok := e.offices[s]
	if !ok {
		// A broker that is not known yet gets the time to make itself heard.
		o = &office{heardUntil: now.Mono + RenewInterval + rankDelay}
		e.offices[s] = o
		e.names = append(e.names, s)
		slices.Sort(e.names)
	}
	return o
}

// rank is the entry's place in the order of candidates for s, which differs
// between services.
func (e *Elector) rank(s galenahead.ServiceName) time.Duration {
	own := weight(s, e.self)
	n := time.Duration(0)
	for _, p := range e.entries {
		if weight(s, p.Name) > own {
			n++
		}
	}
	return n
}

func (e *Elector) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.random() % uint64(limit))
}

func (o *office) grants(now galenapeer.Instant, from galenahead.EntryName, epoch galenahead.Epoch) bool {
	if epoch == o.voteEpoch && from == o.vote {
		return epoch == o.newest
	}
	free := now.Mono >= o.voteUntil || from == o.vote
	return free && epoch >= o.newest && epoch > o.voteEpoch
}

func (o *office) release(from galenahead.EntryName, epoch galenahead.Epoch) {
	if o.vote == from && o.voteEpoch == epoch {
		o.vote = ""
		o.voteUntil = 0
		o.heardUntil = 0
	}
}

func weight(s galenahead.ServiceName, e galenahead.EntryName) uint64 {
	return xxhash.Sum64String(string(s) + "\x00" + string(e))
}
