package galenaentry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenametric"
)

// Guards against histograms and budgets for each service that a caller names.
func TestUnknownServicesShareTheirMetrics(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	tel := &telemetry{
		configured: func(s galenahead.ServiceName) bool { return s == "counter" },
		log:        log, metrics: &galenametric.Metrics{}, budgets: galenabudget.New(galenabudget.Config{}),
	}
	now := time.Now()
	for i := range 100 {
		for _, service := range []galenahead.ServiceName{"counter", galenahead.ServiceName(fmt.Sprint("service-", i))} {
			x := &Exchange{Request: galenahead.Request{Service: service, Caller: galenahead.CallerName(fmt.Sprint("caller-", i)), Arrived: now}}
			tel.Answered(x, galenahead.NotRun(ReasonServiceUnknown), now)
		}
	}
	latencies := tel.metrics.Snapshot().Latency
	is.Equal(len(latencies), 2)
	is.Equal(latencies["counter"].Count, int64(100))
	is.Equal(latencies[string(unknownService)].Count, int64(100))
	reports := tel.budgets.Snapshot(now)
	is.Equal(len(reports), 101) // the callers of the configured service, and one for all others
}
