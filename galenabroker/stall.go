package galenabroker

import (
	"time"

	"github.com/galenahead/galenahead/galenapeer"
)

// stallLimit is the pause of the process from which on it counts as stalled.
const stallLimit = 400 * time.Millisecond

// stall detects pauses of the process. Announcements that arrived during a
// pause are older than they seem, so that they are not forwarded.
type stall struct {
	last   time.Duration
	resume time.Duration
}

// tick is to be called at short intervals.
func (s *stall) tick(now galenapeer.Instant) {
	if now.Mono-s.last > stallLimit {
		s.resume = now.Mono + stallLimit
	}
	s.last = now.Mono
}

// stalled tells whether the process paused just now.
func (s *stall) stalled(now galenapeer.Instant) bool {
	return now.Mono-s.last > stallLimit || now.Mono < s.resume
}
