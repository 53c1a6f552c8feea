package caller

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/test/galena-standin/upstream"
)

// Evidence compares the answers with what the upstreams ran.
type Evidence struct {
	Instances   int      `json:"instances"`
	Unreachable []string `json:"unreachable"`
	// PeakInFlight is the highest number of requests in flight at one instance.
	PeakInFlight int `json:"peak_in_flight"`
	// DoubledRuns are non-idempotent keys that ran more than once.
	DoubledRuns []string `json:"doubled_runs"`
	// NotRunButRan are keys answered with not_run that ran.
	NotRunButRan []string `json:"not_run_but_ran"`
}

// collect reads GET /evidence of every instance.
func (c *collector) collect(addresses []string) *Evidence {
	e := &Evidence{Unreachable: []string{}, DoubledRuns: []string{}, NotRunButRan: []string{}}
	runs := map[string]int{}
	for _, a := range addresses {
		seen, err := fetch(a)
		if err != nil {
			e.Unreachable = append(e.Unreachable, a)
			continue
		}
		e.Instances++
		e.PeakInFlight = max(e.PeakInFlight, seen.PeakInFlight)
		for key, n := range seen.Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 && c.once[key] {
			e.DoubledRuns = append(e.DoubledRuns, key)
		}
		if c.notRun[key] {
			e.NotRunButRan = append(e.NotRunButRan, key)
		}
	}
	return e
}

func fetch(address string) (upstream.Evidence, error) {
	status, body, err := fasthttp.Get(nil, "http://"+address+"/evidence")
	if err != nil || status != fasthttp.StatusOK {
		return upstream.Evidence{}, eris.Errorf("read evidence of %s: status %d, %v", address, status, err)
	}
	var e upstream.Evidence
	err = json.Unmarshal(body, &e)
	return e, err
}
