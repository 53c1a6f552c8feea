package galenafleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// votersIn counts the voters in each data centre.
func (s *lossSeries) votersIn() map[galenahead.DataCentre]int {
	out := map[galenahead.DataCentre]int{}
	if leader, ok := s.leader(); ok {
		for _, m := range leader.node.Status().Members {
			if m.Voter {
				out[s.find(m.Address).dataCentre]++
			}
		}
	}
	return out
}

// playDataCentreLoss starts six daemons in three data centres, with all seeds in the first
// two. It loses one voter for good, so that another data centre's learner may take its
// place, and after its successor counts all daemons of a data centre at once.
func (s *lossSeries) playDataCentreLoss() error {
	defer s.end()
	s.startAll()
	time.Sleep(bootstrapTime)
	if err := s.loseSome(false); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if voters := s.votersIn(); len(voters) != 3 {
		return eris.Errorf("voters are in %v, want some in each data centre", voters)
	}
	lost := s.alive[s.intN(len(s.alive))].dataCentre
	for _, d := range s.alive {
		if d.dataCentre == lost {
			d.gone.Store(true)
			d.stop()
			d.node = nil
		}
	}
	return eris.Wrapf(s.proposeSoon("x"), "after the loss of data centre %s", lost)
}

// Guards against a log whose voters are all in one or two data centres, so that the loss of
// a data centre that the settings allow stops it for good.
func TestVotersAreSpreadOverDataCentres(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				s := newLossSeries(dir, seed, 1, 3, 4*time.Second)
				s.spread = true
				s.rand = rand.New(rand.NewPCG(seed, seed))
				for i, d := range s.daemons {
					d.dataCentre = []galenahead.DataCentre{"a", "b", "c"}[i/2]
				}
				if err := s.playDataCentreLoss(); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
