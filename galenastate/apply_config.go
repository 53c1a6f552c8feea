package galenastate

import (
	"math"
	"strconv"
)

func (ch *change) poolSet(p *Pool) error {
	if err := checkName("name", p.Name); err != nil {
		return err
	}
	if spare, ok := ch.spare(); ok && p.Spare && spare.Name != p.Name {
		return invalid("spare", p.Name, "one spare pool, which is "+string(spare.Name))
	}
	ch.pools.put(ch.gen, p.Name, p)
	ch.touch(kindPool, string(p.Name))
	return nil
}

// spare returns the spare pool, if there is one.
func (s *state) spare() (*Pool, bool) {
	for p := range s.pools.values() {
		if p.Spare {
			return p, true
		}
	}
	return nil, false
}

func (ch *change) serviceSet(s *Service) error {
	if err := checkService(s); err != nil {
		return err
	}
	if _, ok := ch.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	ch.services.put(ch.gen, s.Name, s)
	ch.touch(kindService, string(s.Name))
	return nil
}

func (ch *change) teamSet(t *TeamSet) error {
	if err := checkName("name", t.Name); err != nil {
		return err
	}
	if err := checkQuota(t.Quota); err != nil {
		return err
	}
	next := Team{Name: t.Name, Quota: t.Quota}
	if old, ok := ch.teams.get(t.Name); ok {
		next.Used = old.Used
	}
	ch.teams.put(ch.gen, t.Name, &next)
	return nil
}

func (ch *change) settingSet(s *Setting) error {
	if err := checkSetting(s); err != nil {
		return err
	}
	ch.settings.put(ch.gen, s.Key, s)
	ch.touch(kindSetting, s.Key)
	return nil
}

// Weights are the weights of the metrics that pull against each other.
type Weights struct {
	BufferCost  float64 `json:"buffer_cost"`
	RolloutTime float64 `json:"rollout_time"`
}

// weights returns the weights; one that is not set is 1.
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

// derivedAtOnceLimit bounds the max_at_once derived from the weights.
const derivedAtOnceLimit = 8

// MaxAtOnce returns how many VMs a wave takes out at once when its operator
// leaves it open: one for each multiple of the buffer weight that the roll-out
// weight holds.
func (w Weights) MaxAtOnce() int32 {
	if w.RolloutTime <= w.BufferCost {
		return 1
	}
	return int32(min(math.Round(w.RolloutTime/w.BufferCost), derivedAtOnceLimit))
}
