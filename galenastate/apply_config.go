package galenastate

import (
	"math"
	"strconv"
)

func (tx *transaction) poolSet(p *Pool) error {
	if err := checkName("name", p.Name); err != nil {
		return err
	}
	if spare, ok := tx.sparePool(); ok && p.Spare && spare.Name != p.Name {
		return invalid("spare", p.Name, "one spare pool, which is "+string(spare.Name))
	}
	tx.pools.put(tx.gen, p.Name, p)
	tx.markChanged(kindPool, string(p.Name))
	return nil
}

// sparePool returns the pool that is marked as spare, if any.
func (s *state) sparePool() (*Pool, bool) {
	for p := range s.pools.values() {
		if p.Spare {
			return p, true
		}
	}
	return nil, false
}

func (tx *transaction) serviceSet(s *Service) error {
	if err := checkService(s); err != nil {
		return err
	}
	if _, ok := tx.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	tx.services.put(tx.gen, s.Name, s)
	tx.markChanged(kindService, string(s.Name))
	return nil
}

func (tx *transaction) teamSet(t *TeamSet) error {
	if err := checkName("name", t.Name); err != nil {
		return err
	}
	if err := checkQuota(t.Quota); err != nil {
		return err
	}
	next := Team{Name: t.Name, Quota: t.Quota}
	if old, ok := tx.teams.get(t.Name); ok {
		next.Used = old.Used
	}
	tx.teams.put(tx.gen, t.Name, &next)
	return nil
}

func (tx *transaction) settingSet(s *Setting) error {
	if err := checkSetting(s); err != nil {
		return err
	}
	tx.settings.put(tx.gen, s.Key, s)
	tx.markChanged(kindSetting, s.Key)
	return nil
}

// Weights are the weights of two conflicting objectives: few idle VMs in reserve
// and short maintenance waves.
type Weights struct {
	BufferCost  float64 `json:"buffer_cost"`
	RolloutTime float64 `json:"rollout_time"`
}

// weights returns the configured weights. The default is 1.
func (s *state) weights() Weights {
	return Weights{s.weight(SettingBufferCost), s.weight(SettingRolloutTime)}
}

func (s *state) weight(key string) float64 {
	setting, ok := s.settings.get(key)
	if !ok {
		return 1
	}
	w, err := strconv.ParseFloat(setting.Value, 64)
	if err != nil {
		return 1
	}
	return w
}

// derivedMaxAtOnceLimit is the largest max_at_once derived from the weights.
const derivedMaxAtOnceLimit = 8

// MaxAtOnce returns how many VMs a wave may take out of service at the same time
// if its operator sets no limit: the rounded ratio of RolloutTime to BufferCost,
// but at least 1 and at most derivedMaxAtOnceLimit.
func (w Weights) MaxAtOnce() int32 {
	if w.RolloutTime <= w.BufferCost {
		return 1
	}
	return int32(min(math.Round(w.RolloutTime/w.BufferCost), derivedMaxAtOnceLimit))
}
