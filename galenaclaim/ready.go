package galenaclaim

import "github.com/galenahead/galenahead/galenapeer"

// Ready tells whether this replica votes on keys that are issued now. It does
// not for a few seconds after its start.
func (s *Service) Ready() bool {
	return s.table.ready(s.clock.Now(), s.cfg.ClockTrusted())
}

func (t *Table) ready(now galenapeer.Instant, trusted bool) bool {
	t.noteStart(now, trusted)
	oldest := t.oldest.Load()
	return trusted && oldest > 0 && now.Wall.UnixMilli() > oldest
}
