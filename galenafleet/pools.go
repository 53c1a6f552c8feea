package galenafleet

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

const (
	// idleBeforeSpare is how long an instance must have been idle to be switched
	// off.
	idleBeforeSpare = 700 * time.Millisecond
	// peakRise is how long a peak rises: half of a peak of 8 s. So long no machine
	// is switched off, since one that was takes two moves of 1.5 s to arrive, and
	// the rate of arrivals sends machines ahead of the work. Later only work that
	// waits does: the rate of few large jobs swings by half.
	peakRise = 4 * time.Second
	// rateGrowth is by how much the arrivals of a peak that rises steadily grow
	// while a machine is on its way to it for 1.7 s, if it is sent so long after the
	// peak's beginning.
	rateGrowth = 2
	// arrivalTimeout is how long a moved machine counts for its new pool before
	// its instance has registered.
	arrivalTimeout = 5 * time.Second
)

// transfer is a machine on its way to another pool.
type transfer struct {
	pool      galenahead.ServiceName
	instance  galenahead.InstanceID
	confirmed bool
	since     time.Time
}

// poolUse is the use of one pool.
type poolUse struct {
	service galenahead.ServiceName
	usage   galenajob.Usage
	// lacking is how many machines the pool lacks, and sent how many were sent
	// there since.
	lacking, sent int
	// expected is how many a forecast peak wants.
	expected int
}

// balance moves idle machines to the pools that lack some, and switches off
// those that none needs.
func (m *machinist) balance() {
	cfg := m.State.Config()
	if cfg == nil {
		return
	}
	now, wall := m.Timers.Now(), time.Now().Round(0)
	m.settle(now)
	pools, spare := m.uses(cfg)
	if spare == "" {
		return
	}
	byInstance := map[galenahead.InstanceID]Machine{}
	var off []Machine
	for _, v := range m.machines {
		if m.reserved(v.Name) || v.State != MachineUp || !m.mayOrder(v.Name) || !m.mayRepeat(v.Name) {
			continue
		}
		if v.Pool == spare {
			off = append(off, v)
		} else if v.Instance != "" {
			byInstance[v.Instance] = v
		}
	}
	slices.SortFunc(off, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	supply := func(to *poolUse, n int) {
		for ; n > 0; n-- {
			v, ok := m.donor(pools, to, byInstance)
			if !ok && len(off) > 0 {
				v, off, ok = off[0], off[1:], true
			}
			if !ok {
				return
			}
			m.send(v, to.service, now)
			to.sent++
		}
	}
	for i := range pools {
		supply(&pools[i], pools[i].lacking)
	}
	// What waits already comes before what is only expected.
	for i := range pools {
		p := &pools[i]
		supply(p, p.expected-p.usage.Instances-m.arriving(p.service))
	}
	if last, ok := m.peaks.last(); !ok || wall.Sub(last) < peakRise {
		// Nothing is known of the demand yet, or of how high it will rise.
		return
	}
	for i := range pools {
		for k, idle := range pools[i].usage.Idle {
			v, ok := byInstance[idle.ID]
			if len(pools[i].usage.Idle)-k <= pools[i].keep() {
				break
			}
			if ok && now.Sub(idle.Since) > idleBeforeSpare && !m.reserved(v.Name) {
				m.send(v, spare, now)
			}
		}
	}
}

// uses returns the use of every pool, the one with the greatest shortage first,
// and the spare pool.
func (m *machinist) uses(cfg *Config) (pools []poolUse, spare galenahead.ServiceName) {
	for _, svc := range cfg.Services {
		if svc.Spare {
			spare = svc.Name
			continue
		}
		p := poolUse{service: svc.Name}
		m.of(svc.Name).with(func(at time.Time, s *galenajob.Scheduler) { p.usage = s.Usage(at) })
		m.forecast(&p)
		pools = append(pools, p)
		m.logPool(p)
	}
	slices.SortFunc(pools, func(a, b poolUse) int { return cmp.Compare(m.shortage(&b), m.shortage(&a)) })
	return pools, spare
}

// shortage is what a pool lacks for each machine that it has or gets. A pool
// without any, whose long-running work waits, comes before the last machines of
// a peak.
func (m *machinist) shortage(p *poolUse) float64 {
	return float64(p.lacking) / float64(p.usage.Instances+m.arriving(p.service)+1)
}

// logPool logs the use of a pool when what follows from it changes.
func (m *machinist) logPool(p poolUse) {
	seen := [4]int{p.usage.Instances, p.lacking, p.expected, m.arriving(p.service)}
	if m.logged[p.service] == seen {
		return
	}
	m.logged[p.service] = seen
	galenalog.Info(m.Logger, "pool", poolLine{p, m.arriving(p.service)})
}

// forecast sets how many machines a pool lacks for what waits and for the peak
// that is expected.
func (m *machinist) forecast(p *poolUse) {
	wall := time.Now().Round(0)
	size := m.machineSize()
	rate := machinesFor(galenajob.Resources{MilliCPU: p.usage.Rate}, size)
	load := max(machinesFor(p.usage.Batch, size), rate)
	if o := m.peaks.observe(p.service, load, p.usage.Busy, wall); o != nil {
		onset := *o
		m.spawn(func() error {
			// Lost with the office, it only costs the next owner a forecast.
			_, _ = m.commits.commit(Op{Onset: &onset})
			return nil
		})
	}
	waiting := int(math.Ceil(machinesFor(p.usage.Demand, size))) - p.usable()
	coming := 0
	if !m.peaks.falling(p.service, wall) {
		coming = int(math.Ceil(rateGrowth*rate)) - p.usage.Instances
	}
	p.lacking = max(0, waiting, coming) - m.arriving(p.service)
	p.expected = m.peaks.expected(p.service, wall)
}

// usable counts the idle machines that work may start on. What waits beside them
// waits for something else: its turn to leave an instance, say.
func (p *poolUse) usable() int {
	n := 0
	for _, idle := range p.usage.Idle {
		if idle.Usable {
			n++
		}
	}
	return n
}

// keep is how many of the idle machines wait for a forecast peak.
func (p *poolUse) keep() int {
	return max(0, p.expected-(p.usage.Instances-len(p.usage.Idle)))
}

// machineSize returns the capacity of a usual machine.
func (m *machinist) machineSize() galenajob.Resources {
	var sum galenajob.Resources
	n := int64(0)
	for _, v := range m.machines {
		sum = sum.Add(v.Capacity)
		n++
	}
	if n == 0 {
		return sum
	}
	return galenajob.Resources{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n, GPU: sum.GPU / n}
}

// donor returns a machine that idles in another pool.
func (m *machinist) donor(pools []poolUse, to *poolUse, byInstance map[galenahead.InstanceID]Machine) (Machine, bool) {
	for i := range pools {
		from := &pools[i]
		if from.service == to.service || from.lacking > 0 {
			continue
		}
		for k, idle := range from.usage.Idle {
			if to.lacking <= to.sent && len(from.usage.Idle)-k <= from.keep() {
				break
			}
			if v, ok := byInstance[idle.ID]; ok && !m.reserved(v.Name) {
				return v, true
			}
		}
	}
	return Machine{}, false
}

// reserved tells whether a machine is on its way or due for upkeep now.
func (m *machinist) reserved(name galenahead.VMName) bool {
	_, leaving := m.leaving[name]
	return m.transfers[name] != nil || leaving || m.calling[name]
}

// arriving counts the machines on their way to a pool.
func (m *machinist) arriving(pool galenahead.ServiceName) int {
	n := 0
	for _, t := range m.transfers {
		if t.pool == pool {
			n++
		}
	}
	return n
}

// send orders the move of an idle machine.
func (m *machinist) send(v Machine, pool galenahead.ServiceName, now time.Time) {
	t := &transfer{pool: pool, instance: v.Instance, since: now}
	if v.Instance != "" && !m.vacate(v.Instance) {
		return
	}
	m.transfers[v.Name] = t
	m.move(v.Name, t)
}

// vacate closes an instance to new work, if it is idle.
func (m *machinist) vacate(id galenahead.InstanceID) bool {
	in, known := m.State.instance(id)
	if !known {
		return true
	}
	idle := false
	m.of(in.Service).with(func(now time.Time, s *galenajob.Scheduler) {
		if _, idle = s.Idle(id); idle {
			s.Leave(now, id, true)
		}
	})
	return idle
}

// reopen lets an instance take work again.
func (m *machinist) reopen(id galenahead.InstanceID) {
	if in, known := m.State.instance(id); known {
		m.of(in.Service).with(func(now time.Time, s *galenajob.Scheduler) { s.Leave(now, id, false) })
	}
}

// move sends the order to move a machine.
func (m *machinist) move(name galenahead.VMName, t *transfer) {
	if m.calling[name] || !m.mayRepeat(name) || !m.leads() {
		return
	}
	m.calling[name] = true
	pool, intent := t.pool, m.intend(name, t.instance)
	m.spawn(func() error {
		if _, err := m.commits.commit(intent); err != nil {
			return nil
		}
		m.report(machineAnswer{name: name, err: m.Machines.Move(m.ctx, name, pool, string(m.Name), m.epoch)})
		return nil
	})
}

// takeMoved takes over the answer to a move.
func (m *machinist) takeMoved(a machineAnswer) {
	t := m.transfers[a.name]
	if t == nil {
		return
	}
	log := m.Logger.WithField("machine", a.name).WithField("to_pool", t.pool).WithField("epoch", m.epoch)
	switch {
	case a.err == nil:
		log.Info("machine moves")
		m.office.Metrics.Moves.Add(1)
		t.confirmed, t.since = true, m.Timers.Now()
		m.drop(t.instance)
		m.taken(a.name, MachineMoving)
	case errors.Is(a.err, ErrBusy), errors.Is(a.err, ErrRejected):
		log.WithError(a.err).Info("machine does not move")
		delete(m.transfers, a.name)
		m.reopen(t.instance)
	default:
		// The order may be carried out late; it is repeated until that is known.
		log.WithError(a.err).Info("move not confirmed")
	}
}

// drop forgets an instance whose machine has been taken.
func (m *machinist) drop(id galenahead.InstanceID) {
	in, known := m.State.instance(id)
	if !known {
		return
	}
	if _, err := m.commits.commit(Op{Remove: &id}); err == nil {
		m.of(in.Service).remove(id)
	}
}

// settle ends the transfers of machines that have arrived, and repeats orders
// without an answer.
func (m *machinist) settle(now time.Time) {
	for name, t := range m.transfers {
		switch {
		case !t.confirmed:
			m.move(name, t)
		case now.Sub(t.since) > arrivalTimeout:
			delete(m.transfers, name)
		default:
			v, ok := m.machines[name]
			if !ok || v.State != MachineUp || v.Pool != t.pool {
				continue
			}
			_, registered := m.State.instance(v.Instance)
			if registered || v.Instance == "" {
				delete(m.transfers, name)
			}
		}
	}
}
