package stand3

import (
	"io"
	"net/http"
	"strings"
	"time"
)

var (
	transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	caller    = &http.Client{Transport: transport, Timeout: 3 * time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
)

// call sends one request. It returns the status and body of the response, or 0 and the
// error if there is no complete response.
func call(method, addr, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Galenahead-Deadline-Ms", "3000")
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := caller.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(b)
}
