package galenabroker

import (
	"time"

	"github.com/galenahead/galenahead/galenapeer"
)

// stallThreshold is the longest time between two ticks at which the process does
// not count as stalled.
const stallThreshold = 400 * time.Millisecond

// stallDetector detects pauses of the process. Announcements that arrived during a
// pause are older than they appear, so they must not be forwarded.
type stallDetector struct {
	lastTick     time.Duration
	stalledUntil time.Duration
}

// tick records that the process runs. It must be called at intervals well below
// stallThreshold.
func (s *stallDetector) tick(now galenapeer.Instant) {
	if now.Mono-s.lastTick > stallThreshold {
		s.stalledUntil = now.Mono + stallThreshold
	}
	s.lastTick = now.Mono
}

// stalled reports whether the process is likely to handle messages that arrived
// during a pause.
func (s *stallDetector) stalled(now galenapeer.Instant) bool {
	return now.Mono-s.lastTick > stallThreshold || now.Mono < s.stalledUntil
}
