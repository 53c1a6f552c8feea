package galenastate

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

var update = flag.Bool("update", false, "write the golden files")

// applyCommand encodes and applies a command, and decodes its result.
func applyCommand(t testing.TB, m *StateMachine, c Command) Result {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeResult(m.Apply(1, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// applyOperatorChange applies an operator change at the current revision. The
// test fails unless the change is accepted.
func applyOperatorChange(t testing.TB, m *StateMachine, c Change) {
	t.Helper()
	v := m.View()
	r := applyCommand(t, m, Command{RequestID: fmt.Sprint("setup", v.Revision()), Operator: "op", BaseRevision: v.Revision(), Change: c})
	if err := r.Err(); err != nil {
		t.Fatal(err)
	}
}

// Compares a table with a map. Guards against views that change with the table,
// and against lost or misplaced rows when chunks are split or become empty.
func TestTableAgainstMap(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	var tab table[string, int]
	want := map[string]int{}
	gen := uint64(1)
	var view table[string, int]
	var viewed []int
	seen, keys := map[string]int{}, map[int]string{}
	for i := range 20000 {
		key := fmt.Sprint(r.IntN(1000))
		if r.IntN(3) == 0 && i < 15000 || i >= 15000 && r.IntN(4) > 0 {
			tab.del(gen, key)
			delete(want, key)
		} else {
			tab.put(gen, key, &i)
			want[key] = i
			keys[i] = key
		}
		got, ok := tab.get(key)
		n, exists := want[key]
		is.True(ok == exists && (!ok || *got == n))
		is.Equal(tab.rowCount, len(want))
		if i%500 == 0 {
			is.True(slices.Equal(view.list(), viewed))
			old := maps.Clone(seen)
			changed, removed := tab.diff(view)
			for _, key := range removed {
				delete(old, key)
			}
			for _, v := range changed {
				old[keys[*v]] = *v
			}
			is.Equal(old, want)
			seen = maps.Clone(want)
			view, gen = tab, gen+1
			viewed = view.list()
			is.Equal(len(viewed), len(want))
		}
	}
}

// Guards against a table of request ids that grows without bound, or that
// forgets ids too early or in a snapshot.
func TestRequestIDsAreBounded(t *testing.T) {
	is := is.New(t)
	var m StateMachine
	set := func(id int) Result {
		return applyCommand(t, &m, Command{RequestID: fmt.Sprint("id", id), Operator: "op", BaseRevision: m.View().Revision(),
			Change: Change{SettingSet: &Setting{Key: "k", Value: fmt.Sprint(id)}}})
	}
	for id := range RequestLimit + 2 {
		is.Equal(set(id).Revision, galenahead.Revision(id+1))
	}
	snap, err := m.Snapshot()
	is.NoErr(err)
	is.NoErr(m.Restore(snap))
	is.Equal(set(2).Revision, galenahead.Revision(3))                           // oldest id that is kept
	is.Equal(set(RequestLimit+1).Revision, galenahead.Revision(RequestLimit+2)) // newest id
	is.Equal(len(m.requests.ring), RequestLimit)                                // bounded
	is.Equal(set(0).Revision, galenahead.Revision(RequestLimit+3))              // evicted id counts as new
	r := applyCommand(t, &m, Command{RequestID: "id5", Operator: "op", Change: Change{SettingSet: &Setting{Key: "x"}}})
	is.True(errors.Is(r.Err(), galenahead.ErrRequestIDReused))
	is.True(m.View().History(0)[0].Revision == m.View().Revision())
	is.True(len(m.View().History(0)) <= 2*HistoryLimit)
}

// Guards against ids that cannot be found after other ids in their probe
// sequence were evicted.
func TestRequestIndexAgainstMap(t *testing.T) {
	is := is.New(t)
	var tab requestTable
	for i := range 3 * RequestLimit {
		tab.add(requestRecord{ID: fmt.Sprint(i), Digest: uint64(i)})
	}
	for i := range 3 * RequestLimit {
		r, ok := tab.find(fmt.Sprint(i))
		is.Equal(ok, i >= 2*RequestLimit)
		is.True(!ok || r.Digest == uint64(i))
	}
	used := 0
	for _, n := range tab.index {
		used += int(min(n, 1))
	}
	is.Equal(used, RequestLimit)
}

// Guards against views that change while commands are applied. Data races are
// left to the race detector.
func TestViewsAreConsistent(t *testing.T) {
	m := newTestStateMachine(t)
	first := m.View().Revision()
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			for range 500 {
				v := m.View()
				keys := v.Settings()
				for range 3 {
					if !slices.Equal(keys, v.Settings()) || len(keys) != int(v.Revision()-first) {
						return fmt.Errorf("view of revision %d changed", v.Revision())
					}
				}
			}
			return nil
		})
	}
	for i := range 300 {
		applyOperatorChange(t, m, Change{SettingSet: &Setting{Key: fmt.Sprintf("k%03d", i), Value: "v"}})
	}
	is.New(t).NoErr(group.Wait())
}

// Guards against results that lose their sentinel error or the conflicting change
// when they are encoded for a client.
func TestResultsAndErrors(t *testing.T) {
	is := is.New(t)
	for code, sentinel := range codeErrors {
		r := Result{Code: Code(code), Message: "field: found 1, allowed is 2"}
		if Code(code) == CodeConflict {
			r.Message = ""
			r.Winner = &AcceptedChange{Revision: 7, Operator: "op", Change: Change{PoolSet: &Pool{Name: "p"}}}
		}
		decoded, err := DecodeResult(r.Encode())
		is.NoErr(err)
		is.True(errors.Is(decoded.Err(), sentinel))
		back := ResultFromError(decoded.Err())
		is.Equal(back.Code, r.Code)
		is.Equal(back.Winner, r.Winner)
	}
	is.Equal(ResultFromError(errors.New("x")).Code, CodeInvalid)
}

// newTestStateMachine returns a state machine with VMs w0 to w3 in pool p, and
// queued jobs j0 to j3 of team t.
func newTestStateMachine(t testing.TB) *StateMachine {
	m := &StateMachine{}
	applyOperatorChange(t, m, Change{PoolSet: &Pool{Name: "p"}})
	applyOperatorChange(t, m, Change{TeamSet: &TeamSet{Name: "t", Quota: Size{Cores: 3}}})
	for i := range 4 {
		applyOperatorChange(t, m, Change{VMAdd: &VMAdd{Name: galenahead.VMName(fmt.Sprint("w", i)), Pool: "p", DataCentre: "d", Rack: "r"}})
		applyOperatorChange(t, m, Change{JobSubmit: &JobSubmit{ID: galenahead.JobID(fmt.Sprint("j", i)), Team: "t", Pool: "p", Cores: 1}})
	}
	return m
}

// placeJob assigns a job to a worker.
func placeJob(t testing.TB, m *StateMachine, job galenahead.JobID, worker galenahead.VMName) Result {
	j, _ := m.View().Job(job)
	w, _ := m.View().VM(worker)
	return applyCommand(t, m, Command{Change: Change{JobPlaced: &JobPlacement{Job: job, Epoch: j.Epoch + 1, Worker: worker, WorkerEpoch: w.Epoch}}})
}

// failJob places a job on a worker and reports its failure.
func failJob(t testing.TB, m *StateMachine, job galenahead.JobID, worker galenahead.VMName) {
	is := is.New(t)
	is.NoErr(placeJob(t, m, job, worker).Err())
	j, _ := m.View().Job(job)
	is.NoErr(applyCommand(t, m, Command{Change: Change{JobFailed: &JobFailure{Job: job, Epoch: j.Epoch, Reason: "exit 1"}}}).Err())
}

// Guards against parking good workers because of a job that always fails, and
// good jobs because of a worker on which all jobs fail.
func TestAttributionOfFailures(t *testing.T) {
	is := is.New(t)
	m := newTestStateMachine(t)
	failJob(t, m, "j0", "w0")
	failJob(t, m, "j0", "w0")
	failJob(t, m, "j0", "w1")
	j, _ := m.View().Job("j0")
	is.Equal(j.State, JobQueued) // it failed on only two different workers
	failJob(t, m, "j0", "w2")
	j, _ = m.View().Job("j0")
	is.Equal(j.State, JobParked)
	w, _ := m.View().VM("w0")
	is.Equal(len(w.Failures), 0) // not attributed to the worker

	failJob(t, m, "j1", "w3")
	failJob(t, m, "j2", "w3")
	failJob(t, m, "j3", "w3")
	w, _ = m.View().VM("w3")
	is.True(w.Parked)
	j, _ = m.View().Job("j1")
	is.Equal(len(j.FailedOn), 0) // not attributed to the job
	is.True(errors.Is(placeJob(t, m, "j1", "w3").Err(), galenahead.ErrInvalid))

	failJob(t, m, "j1", "w1")
	is.NoErr(placeJob(t, m, "j2", "w1").Err())
	j, _ = m.View().Job("j2")
	is.NoErr(applyCommand(t, m, Command{Change: Change{JobFinished: &JobEvent{Job: "j2", Epoch: j.Epoch}}}).Err())
	w, _ = m.View().VM("w1")
	is.Equal(len(w.Failures), 0) // a success clears the failures
}

// Guards against quotas that are enforced for each job but not for their sum, and
// against ended jobs that are kept forever.
func TestQuotasAndEndedJobs(t *testing.T) {
	is := is.New(t)
	m := newTestStateMachine(t)
	for i := range 3 {
		is.NoErr(placeJob(t, m, galenahead.JobID(fmt.Sprint("j", i)), "w0").Err())
	}
	is.True(errors.Is(placeJob(t, m, "j3", "w1").Err(), galenahead.ErrQuota))
	applyOperatorChange(t, m, Change{JobCancel: &JobCancel{ID: "j0"}})
	is.True(errors.Is(placeJob(t, m, "j3", "w1").Err(), galenahead.ErrQuota)) // the cancelled task still runs
	j, _ := m.View().Job("j0")
	applyCommand(t, m, Command{Change: Change{JobFinished: &JobEvent{Job: "j0", Epoch: j.Epoch}}})
	is.NoErr(placeJob(t, m, "j3", "w1").Err())
	for i := range endedJobLimit + 10 {
		id := galenahead.JobID(fmt.Sprint("e", i))
		applyOperatorChange(t, m, Change{JobSubmit: &JobSubmit{ID: id, Team: "t", Pool: "p"}})
		applyOperatorChange(t, m, Change{JobCancel: &JobCancel{ID: id}})
	}
	is.Equal(m.View().JobCount(), 3+endedJobLimit)
}

// Guards against deltas with a gap after the oldest record changes were dropped.
func TestDeltasAfterOverflow(t *testing.T) {
	is := is.New(t)
	var m StateMachine
	var c Config
	for i := range 3 * changeLimit {
		applyOperatorChange(t, &m, Change{SettingSet: &Setting{Key: fmt.Sprint("k", i), Value: "v"}})
		if i < changeLimit {
			d, ok := m.View().Since(c.Revision)
			is.True(ok)
			c, ok = c.ApplyDelta(d)
			is.True(ok)
		}
	}
	v := m.View()
	for from := galenahead.Revision(0); from < v.Revision()+2; from += 97 {
		d, ok := v.Since(from)
		is.True(!ok || len(d.Settings) == int(v.Revision()-from))
		is.True(ok || from < v.Revision()-changeLimit || from > v.Revision())
	}
}

// Guards against different results for recorded commands of operators and the
// driver. Each line of a trace is a command or "restart".
func TestRecordedTraces(t *testing.T) {
	traces, err := filepath.Glob("testdata/*.jsonl")
	is.New(t).NoErr(err)
	for _, path := range traces {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			got := replay(t, path)
			golden := strings.TrimSuffix(path, ".jsonl") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func replay(t *testing.T, path string) string {
	is := is.New(t)
	f, err := os.Open(path)
	is.NoErr(err)
	defer f.Close()
	var m StateMachine
	var out strings.Builder
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		if lines.Text() == "restart" {
			snap, err := m.Snapshot()
			is.NoErr(err)
			m = StateMachine{}
			is.NoErr(m.Restore(snap))
			fmt.Fprintf(&out, "%d restart\n", n)
			continue
		}
		var c Command
		is.NoErr(json.Unmarshal(lines.Bytes(), &c))
		r := applyCommand(t, &m, c)
		outcome := "accepted"
		if r.Repeated {
			outcome = "repeated"
		}
		if err := r.Err(); err != nil {
			outcome = err.Error()
		}
		fmt.Fprintf(&out, "%d %s revision=%d %s\n", n, c.Change.Kind(), r.Revision, outcome)
	}
	for _, w := range m.View().Waves() {
		fmt.Fprintf(&out, "wave %s is %v at step %d, %d out: %s\n", w.Name, w.State, w.NextStep, w.Unavailable(), w.Reason)
	}
	state, err := json.MarshalIndent(m.View().Full(), "", " ")
	is.NoErr(err)
	return out.String() + string(state) + "\n"
}
