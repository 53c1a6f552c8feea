package ends

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	callerDeadline = 3 * time.Second
	// silence is how long a caller waits for an answer before it gives up.
	silence     = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	visibleTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	finishTime  = 14 * time.Second
	applyTime   = 2 * time.Second
	// replaceTime is how long a configuration is sent again until it must be acknowledged.
	// It is longer than all processes are down.
	replaceTime = 40 * time.Second
)

// job is a job of the callers.
type job struct {
	id       string
	body     string
	long     bool
	items    int
	accepted time.Time
	// rejected is set if every attempt to submit it was rejected.
	rejected bool
	// cancelSent is when the first cancel was sent, cancelled when one was acknowledged.
	cancelSent, cancelled time.Time
}

// connection is a caller's connection to an entry. The caller uses it until the entry
// closes it.
type connection struct {
	d      *deployment
	entry  int
	conn   net.Conn
	reader *bufio.Reader
}

// response is what a caller saw of the answer to one request. The status is 0 if there
// was no whole answer.
type response struct {
	status int
	body   string
}

// dial connects to the entry, or to the next one that accepts connections.
func (c *connection) dial() bool {
	for range entries {
		conn, err := net.DialTimeout("tcp", c.d.address(c.entry, "caller"), time.Second)
		if err == nil {
			c.conn, c.reader = conn, bufio.NewReader(conn)
			return true
		}
		c.entry = 1 + c.entry%entries
	}
	return false
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one request, of which half the body follows after a pause, and reads the answer.
// A request whose last byte was sent must get a whole answer, or its connection must end at once.
func (c *connection) do(method, path, body string, pause time.Duration) response {
	if c.conn == nil && !c.dial() {
		time.Sleep(100 * time.Millisecond)
		return response{}
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nGalenahead-Deadline-Ms: %d\r\n", method, path, callerDeadline.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	request := head + "\r\n" + body
	_ = c.conn.SetDeadline(time.Now().Add(silence + pause))
	first := len(request)
	if pause > 0 {
		first -= len(body) / 2
	}
	begin := time.Now()
	_, err := io.WriteString(c.conn, request[:first])
	if err == nil && pause > 0 {
		time.Sleep(pause)
		_, err = io.WriteString(c.conn, request[first:])
	}
	sentAt, sent := time.Now(), err == nil
	what := fmt.Sprintf("%s %s at entry-%d, begun %.3f s, last byte after %s", method, path, c.entry, begin.Sub(c.d.begin).Seconds(), sentAt.Sub(begin).Round(time.Millisecond))
	if _, err := c.reader.Peek(1); err != nil {
		took := time.Since(sentAt)
		c.close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.d.breakf("%s: no answer after %s, and the connection is open", what, took)
		case c.d.isUnplannedSince(begin):
			c.d.count("connections that a kill ends")
		case sent && took > lossSlack:
			c.d.breakf("%s: the connection ends without an answer after %s: %v", what, took.Round(time.Millisecond), err)
		case sent:
			c.d.count("connections that end in time")
		default:
			c.d.count("requests that were not sent in full")
		}
		return response{}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		if !c.d.isUnplannedSince(begin) {
			c.d.breakf("%s: the answer breaks off: %v", what, err)
		}
		c.close()
		return response{}
	}
	if !sent {
		c.d.count("early answers")
		c.close()
	}
	c.d.count(fmt.Sprintf("answers %d", resp.StatusCode))
	return response{resp.StatusCode, string(text)}
}

// isUnplannedSince reports whether processes were killed without notice, or not all of them were
// back, at some time from then on.
func (d *deployment) isUnplannedSince(then time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unplanned || d.plannedSince.After(then)
}

// setUnplanned says whether processes are down without notice.
func (d *deployment) setUnplanned(v bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unplanned, d.plannedSince = v, time.Now()
}

// caller sends requests on open connections until stop is closed.
type caller struct {
	d    *deployment
	rng  *rand.Rand
	conn connection
	jobs []*job
}

func newCaller(d *deployment, seed, number uint64) *caller {
	return &caller{d: d, rng: rand.New(rand.NewPCG(seed, number)), conn: connection{d: d, entry: 1 + int(number)%entries}}
}

func (c *caller) run(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	defer c.conn.close()
	for {
		pause := time.Duration(20+c.rng.IntN(180)) * time.Millisecond
		if c.rng.IntN(20) == 0 {
			pause = time.Duration(c.rng.IntN(2000)) * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c.step()
	}
}

func (c *caller) step() {
	n := c.rng.IntN(100)
	switch {
	case n < 2:
		c.submit(true, 0)
	case n < 20 || len(c.jobs) == 0:
		c.submit(false, 0)
	case n < 29:
		c.submit(false, time.Duration(10+c.rng.IntN(1500))*time.Millisecond)
	case n < 30:
		c.submit(false, time.Duration(1500+c.rng.IntN(5000))*time.Millisecond)
	case n < 45:
		c.conn.do(http.MethodGet, []string{"/q/", "/q/", "/p/"}[n%3], "", 0)
	case n < 50:
		c.cancel(c.jobs[c.rng.IntN(len(c.jobs))])
	default:
		c.read(c.jobs[c.rng.IntN(len(c.jobs))])
	}
}

// isUnclear reports whether the request may have had an effect though its status does not say so.
func isUnclear(status int) bool {
	return status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// submit submits a job until its answer is clear.
func (c *caller) submit(long bool, pause time.Duration) *job {
	s := spec{CPU: int64(500 + c.rng.IntN(1500)), Mem: 256, WorkMS: int64(30 + c.rng.IntN(400)), Long: long}
	j := &job{id: fmt.Sprintf("%016x", c.rng.Uint64()), long: long, items: 1 + c.rng.IntN(3)}
	text, _ := json.Marshal(s)
	step := map[string]any{"count": j.items, "cpu": s.CPU, "mem_mb": s.Mem, "estimate_ms": s.WorkMS}
	if long {
		step["long_running"] = true
	}
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []any{step}})
	j.body = string(body)
	c.d.mu.Lock()
	c.d.jobs[j.id] = j
	c.d.mu.Unlock()
	clearly := true
	for range 5 {
		status := c.conn.do(http.MethodPost, "/q/"+j.id, j.body, pause).status
		c.d.notef("POST %s -> %d", j.id, status)
		clearly = clearly && !isUnclear(status)
		if status == http.StatusOK {
			c.d.mu.Lock()
			j.accepted = time.Now()
			c.d.mu.Unlock()
			c.jobs = append(c.jobs, j)
			return j
		}
		if !isUnclear(status) {
			break
		}
		pause = 0
		time.Sleep(200 * time.Millisecond)
	}
	c.d.mu.Lock()
	j.rejected = clearly
	c.d.mu.Unlock()
	return nil
}

// cancel cancels a job until its answer is clear.
func (c *caller) cancel(j *job) {
	c.d.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	c.d.mu.Unlock()
	for range 5 {
		status := c.conn.do(http.MethodDelete, "/q/"+j.id, "", 0).status
		c.d.notef("DELETE %s -> %d", j.id, status)
		if status == http.StatusOK {
			c.d.mu.Lock()
			j.cancelled = time.Now()
			c.d.mu.Unlock()
			return
		}
		if status == http.StatusGone {
			c.d.breakf("cancel of accepted job %s: 410", j.id)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.d.count("cancels without an acknowledgement")
}

// read reads the state of an accepted job. It returns an empty string if it isn't told.
func (c *caller) read(j *job) string {
	sentAt := time.Now()
	r := c.conn.do(http.MethodGet, "/q/"+j.id, "", 0)
	var shown struct {
		State string `json:"state"`
	}
	if r.status == http.StatusOK && json.Unmarshal([]byte(r.body), &shown) != nil {
		c.d.breakf("job %s: state can't be read from %q", j.id, r.body)
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	switch {
	case r.status == http.StatusGone && sentAt.Sub(j.accepted) > visibleTime:
		c.d.breakLocked("job %s: 410, accepted %s before", j.id, sentAt.Sub(j.accepted))
	case shown.State == "failed", shown.State == "cancelled" && j.cancelSent.IsZero():
		c.d.breakLocked("job %s: shown as %s without cause", j.id, shown.State)
	}
	return shown.State
}

// operator replaces the configuration, and reads it.
type operator struct {
	d   *deployment
	rng *rand.Rand
	// version is the newest version that was sent.
	version int
}

// acknowledgedConfig is the newest acknowledged version, now and applyTime ago.
type acknowledgedConfig struct {
	version, settled int
}

// configuration returns the configuration of a version. Versions differ in a route that comes
// and goes, in the name of another one, and in time-outs of requests and connections.
func configuration(version int) string {
	service := `"kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,"stretch":1.6}`
	optional := ""
	if version%2 == 0 {
		optional = `{"name":"r2","host":"shop.example","path_prefix":"/p/",` + service + ","
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s{"name":"r1","host":"shop.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":%d,`+
		`"target_latency_ms":600,"priority":0,"service":"desk","max_attempts":3,"stretch":1.6},{"name":"r%d","host":"shop.example","path_prefix":"/x%d/",%s],`+
		`"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":true,"spare":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":%d,"idle_timeout_ms":%d}}`,
		version, optional, 3000+version%7, 100+version, version, service, 1000+version%3*1000, 700+version%4*1500)
}

// replace sends a version to a control daemon once, and reports whether it was acknowledged.
func (d *deployment) replace(version, daemon int) bool {
	status, answer := call(http.MethodPost, d.address(daemon, "operator"), "/config/replace", configuration(version))
	d.notef("configuration %d at control-%d -> %d", version, daemon, status)
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
		d.breakf("valid configuration %d refused: %d %s", version, status, answer)
	}
	if status != http.StatusOK {
		return false
	}
	d.mu.Lock()
	d.acked.version = max(d.acked.version, version)
	d.mu.Unlock()
	time.AfterFunc(applyTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.acked.settled = max(d.acked.settled, version)
	})
	return true
}

// send sends a version until it is acknowledged.
func (o *operator) send(version, daemon int, group *sync.WaitGroup) {
	defer group.Done()
	begin := time.Now()
	for time.Since(begin) < replaceTime {
		if o.d.replace(version, daemon) {
			return
		}
		daemon = 1 + daemon%controls
		time.Sleep(100 * time.Millisecond)
	}
	o.d.breakf("configuration %d: not acknowledged within %s", version, time.Since(begin))
}

// read reads the configuration from a control daemon.
func (d *deployment) readConfig(daemon int) (version int, ok bool) {
	d.mu.Lock()
	settled := d.acked.settled
	d.mu.Unlock()
	status, body := call(http.MethodGet, d.address(daemon, "operator"), "/config/get", "")
	if status != http.StatusOK {
		return 0, false
	}
	type content struct {
		Version int `json:"version"`
		Routes  []struct {
			Name    string `json:"name"`
			Prefix  string `json:"path_prefix"`
			Timeout int    `json:"timeout_ms"`
		} `json:"routes"`
	}
	var got, want content
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		d.breakf("configuration read at control-%d: %v", daemon, err)
		return 0, false
	}
	if err := json.Unmarshal([]byte(configuration(got.Version)), &want); err != nil {
		d.t.Error(err)
	}
	if a, b := fmt.Sprint(got), fmt.Sprint(want); !sameWords(a, b) {
		d.breakf("configuration read at control-%d: %s, want %s", daemon, a, b)
	}
	if got.Version < settled {
		d.breakf("configuration read at control-%d: version %d, %d was acknowledged %s before", daemon, got.Version, settled, applyTime)
	}
	return got.Version, true
}

// sameWords reports whether the texts hold the same number of the same words in any order.
func sameWords(a, b string) bool {
	count := map[string]int{}
	for _, w := range strings.Fields(strings.Trim(a, "{}")) {
		count[strings.Trim(w, "[]{}")]++
	}
	for _, w := range strings.Fields(strings.Trim(b, "{}")) {
		count[strings.Trim(w, "[]{}")]--
	}
	for _, n := range count {
		if n != 0 {
			return false
		}
	}
	return true
}

// run changes the configuration until stop is closed. Some changes race.
func (o *operator) run(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	var orders sync.WaitGroup
	defer orders.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+o.rng.IntN(2500)) * time.Millisecond):
		}
		for range 1 + o.rng.IntN(2) {
			o.version += 1 + o.rng.IntN(3)
			orders.Add(1)
			go o.send(o.version, 1+o.rng.IntN(controls), &orders)
		}
	}
}

// loop reads the configuration until stop is closed.
func (d *deployment) loop(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(70 * time.Millisecond):
		}
		if _, ok := d.readConfig(1 + i%controls); ok {
			d.count("configurations read")
		}
	}
}

// check checks what was acknowledged, after the traffic has ended and all processes are back.
func (d *deployment) check() {
	d.waitFor("the newest acknowledged configuration at all control daemons", func() bool {
		for i := 1; i <= controls; i++ {
			version, ok := d.readConfig(i)
			d.mu.Lock()
			newest := d.acked.version
			d.mu.Unlock()
			if !ok || version < newest {
				return false
			}
		}
		return true
	})
	c := newCaller(d, 0, 0)
	defer c.conn.close()
	d.mu.Lock()
	open := map[string]*job{}
	for id, j := range d.jobs {
		if !j.accepted.IsZero() {
			open[id] = j
		}
	}
	d.mu.Unlock()
	for limit := time.Now().Add(finishTime); len(open) > 0 && time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		for id, j := range open {
			if d.isFinished(j, c.read(j)) {
				delete(open, id)
			}
		}
	}
	for id, j := range open {
		d.breakf("job %s (long %t, cancel sent %t, acknowledged %t) has not ended as it must: %q", id, j.long, !j.cancelSent.IsZero(), !j.cancelled.IsZero(), c.read(j))
	}
}

// isFinished reports whether the job is where it must come to: run if it lasts, ended
// otherwise.
func (d *deployment) isFinished(j *job, state string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := 0
	for i := range j.items {
		if it := d.items[fmt.Sprintf("%s.0.0.%d", j.id, i)]; it != nil && it.on != "" {
			at++
		}
	}
	switch {
	case !j.cancelled.IsZero():
		return at == 0 && (state == "cancelled" || state == "completed")
	case !j.cancelSent.IsZero() && state == "cancelled":
		return at == 0
	case j.long:
		return at == j.items && state == "running"
	}
	return state == "completed"
}
