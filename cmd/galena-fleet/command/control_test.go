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

// failing is a control daemon whose disk fails after a while; without a time it
// runs until it is told to stop.
type failing struct{ after time.Duration }

func (f failing) Run(ctx context.Context) error {
	if f.after == 0 {
		<-ctx.Done()
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(f.after):
		return eris.New("no space left on device")
	}
}

// Guards against a process that ends when its disk is full or its log cannot be
// opened, and against one that starts again without a pause.
func TestControlOutlivesAFailedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var opened []time.Time
		s := &supervisor{log: logger, open: func() (galenadaemon.Runner, error) {
			opened = append(opened, time.Now())
			switch len(opened) {
			case 1:
				return failing{time.Minute}, nil
			case 2:
				return nil, eris.New("no space left on device")
			}
			return failing{}, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(time.Hour)
		synctest.Wait() // orders the reads below after the supervisor's writes
		is.Equal(len(opened), 3)
		is.Equal(opened[1].Sub(opened[0]), time.Minute+diskRetry)
		is.Equal(opened[2].Sub(opened[1]), diskRetry)
		is.Equal(len(ended), 0)
		cancel()
		is.NoErr(<-ended)
	})
}
