package galenaclaim

import "github.com/galenahead/galenahead/galenapeer"

// Ready reports whether this replica votes on keys that are issued now. It does
// not do so in the first seconds after its start.
func (s *Service) Ready() bool {
	return s.table.ready(s.clock.Now(), s.cfg.ClockTrusted())
}

func (t *Table) ready(now galenapeer.Instant, trusted bool) bool {
	t.initRestartCutoff(now, trusted)
	cutoff := t.restartCutoffMS.Load()
	return trusted && cutoff > 0 && now.Wall.UnixMilli() > cutoff
}
