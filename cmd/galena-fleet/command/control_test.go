package command

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead/galenadaemon"
)

// fakeDaemon is a control daemon whose disk fails after failAfter, or that runs
// until its context ends if failAfter is zero.
type fakeDaemon struct{ failAfter time.Duration }

func (f fakeDaemon) Run(ctx context.Context) error {
	if f.failAfter == 0 {
		<-ctx.Done()
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(f.failAfter):
		return eris.New("no space left on device")
	}
}

// Guards against a process that exits when its disk is full or its log cannot be
// opened, and against restarts without a delay.
func TestControlRestartsAfterDiskFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var startTimes []time.Time
		s := &supervisor{log: logger, newDaemon: func() (galenadaemon.Runner, error) {
			startTimes = append(startTimes, time.Now())
			switch len(startTimes) {
			case 1:
				return fakeDaemon{time.Minute}, nil
			case 2:
				return nil, eris.New("no space left on device")
			}
			return fakeDaemon{}, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(time.Hour)
		synctest.Wait() // the supervisor's writes happen before the reads below
		is.Equal(len(startTimes), 3)
		is.Equal(startTimes[1].Sub(startTimes[0]), time.Minute+reopenDelay)
		is.Equal(startTimes[2].Sub(startTimes[1]), reopenDelay)
		is.Equal(len(ended), 0)
		cancel()
		is.NoErr(<-ended)
	})
}
