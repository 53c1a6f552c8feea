package caller

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/test/galena-standin/upstream"
)

// Evidence is the result of comparing the responses with the runs that the
// upstreams recorded.
type Evidence struct {
	Instances   int      `json:"instances"`
	Unreachable []string `json:"unreachable"`
	// PeakInFlight is the largest number of requests in flight at one instance.
	PeakInFlight int `json:"peak_in_flight"`
	// DuplicateRuns are non-idempotent keys that ran more than once.
	DuplicateRuns []string `json:"doubled_runs"`
	// NotRunButRan are keys that ran although their outcome was not_run.
	NotRunButRan []string `json:"not_run_but_ran"`
}

// compareEvidence fetches the evidence of every upstream and compares it with the
// responses.
func (c *collector) compareEvidence(addresses []string) *Evidence {
	result := &Evidence{Unreachable: []string{}, DuplicateRuns: []string{}, NotRunButRan: []string{}}
	runs := map[string]int{}
	for _, a := range addresses {
		recorded, err := fetchEvidence(a)
		if err != nil {
			result.Unreachable = append(result.Unreachable, a)
			continue
		}
		result.Instances++
		result.PeakInFlight = max(result.PeakInFlight, recorded.PeakInFlight)
		for key, n := range recorded.Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 && c.nonIdempotent[key] {
			result.DuplicateRuns = append(result.DuplicateRuns, key)
		}
		if c.notRun[key] {
			result.NotRunButRan = append(result.NotRunButRan, key)
		}
	}
	return result
}

func fetchEvidence(address string) (upstream.Evidence, error) {
	status, body, err := fasthttp.Get(nil, "http://"+address+"/evidence")
	if err != nil || status != fasthttp.StatusOK {
		return upstream.Evidence{}, eris.Errorf("read evidence of %s: status %d, %v", address, status, err)
	}
	var e upstream.Evidence
	err = json.Unmarshal(body, &e)
	return e, err
}
