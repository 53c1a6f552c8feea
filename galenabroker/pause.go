package galenabroker

import (
	"time"

	"github.com/galenahead/galenahead/galenapeer"
)

// pauseThreshold is the longest time between two ticks at which the process does
// not count as paused.
const pauseThreshold = 400 * time.Millisecond

// pauseDetector detects pauses of the process. Announcements that arrived during a
// pause are older than they appear, so they must not be forwarded.
type pauseDetector struct {
	lastTick            time.Duration
	recentlyPausedUntil time.Duration
}

// tick records that the process runs. It must be called at intervals well below
// pauseThreshold.
func (d *pauseDetector) tick(now galenapeer.Instant) {
	if now.Mono-d.lastTick > pauseThreshold {
		d.recentlyPausedUntil = now.Mono + pauseThreshold
	}
	d.lastTick = now.Mono
}

// recentlyPaused reports whether the process is likely to handle messages that
// arrived during a pause.
func (d *pauseDetector) recentlyPaused(now galenapeer.Instant) bool {
	return now.Mono-d.lastTick > pauseThreshold || now.Mono < d.recentlyPausedUntil
}
