package root

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenajob"
)

// fakeFleet is the RPC client of a fake fleet whose owner is at ownerAddress. It
// records the addresses that were called.
type fakeFleet struct{ called []string }

const ownerAddress = "127.0.0.2:7000"

func (c *fakeFleet) Call(_ context.Context, addr, method string, params, result any) error {
	c.called = append(c.called, addr)
	q := params.(galenafleet.ViewQuery)
	switch {
	case method != galenafleet.MethodView:
		return galenahead.ErrInvalid
	case addr == "127.0.0.9:7000":
		return galenahead.ErrUnreachable
	case addr != ownerAddress:
		return galenahead.ErrNotLeader
	case q.Job == "lost":
		return fmt.Errorf("job lost is not known: %w", galenahead.ErrNotFound)
	}
	b, err := json.Marshal(sampleView(q))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

func (c *fakeFleet) Notify(context.Context, string, string, any) error { return nil }

func sampleView(q galenafleet.ViewQuery) galenafleet.View {
	v := galenafleet.View{Total: 1, Owner: galenafleet.OwnerView{
		Name: "c2", Epoch: 4, SessionMS: 61_500, ConfigVersion: 12, Term: 9,
		Members: []galenahead.Member{{Name: "c1", Address: "127.0.0.1:7000", Voter: true}, {Name: "c2", Address: ownerAddress, Voter: true}},
	}}
	job := galenajob.JobView{
		ID: "5c0e", Queue: "quotes", Service: "counter", State: galenajob.StateRunning, Class: "on_time", AgeMS: 820, ObjectiveMS: 1624,
		Steps: []galenajob.StepView{{Open: true, Items: 4, Done: 4, FailedRuns: 1}, {Step: 1, Open: true, Items: 6, Done: 1, Placed: 2}, {Occurrence: 1, Step: 2, Items: 1}},
	}
	switch q.Part {
	case galenafleet.PartQueues:
		v.Queues = []galenajob.QueueView{{Queue: "quotes", Service: "counter", Priority: 1, Jobs: 5, Waiting: 2, Hopeless: 1, OldestMS: 400}}
	case galenafleet.PartJobs:
		v.Jobs, v.Total = []galenajob.JobView{job}, 3
	case galenafleet.PartJob:
		job.Runs = []galenajob.RunView{
			{Item: galenajob.ItemKey{Step: 1, Index: 2}, Run: 4001, Phase: "running", Instance: "i-1", Percent: 40, Checkpoint: "0b"},
			{Item: galenajob.ItemKey{Occurrence: 1, Step: 2}, Run: 4002, Phase: "starting", Instance: "i-2"},
		}
		v.Jobs = []galenajob.JobView{job}
	case galenafleet.PartInstances:
		v.Instances = []galenajob.InstanceView{{ID: "i-1", Service: "counter", Zone: "sapporo", Address: "10.1.0.2:80", State: "leaving", Items: 2,
			Used: galenajob.Resources{MilliCPU: 7000, MemoryMB: 512}, Capacity: galenajob.Resources{MilliCPU: 64000, MemoryMB: 131072}, AnsweredMS: 21}}
	case galenafleet.PartMachines:
		v.Machines = []galenafleet.MachineView{{Name: "m-1", Pool: "counter", State: galenafleet.MachineUp, Instance: "i-1", Plan: "move to courier", ListAgeMS: 230}}
	case galenafleet.PartAccounts:
		v.Accounts = []galenafleet.AccountView{
			{Name: "knots", Weight: 4.5, Running: galenahead.Resources{MilliCPU: 12500, MemoryMB: 9000}, Limit: galenahead.Resources{MilliCPU: 64000, GPU: 2}, ShareMille: 121, FairMille: 250, Waiting: 7, OldestWaitMS: 1250, Rejected: 3},
			{Name: "glue", Retired: true},
		}
	case galenafleet.PartWaves:
		v.Waves = []galenafleet.WaveView{{ID: 3, Machines: 22, Down: 2, Done: 5, MaxDown: 9, LeftMS: 14_200}}
	}
	return v
}

func runFleetCommand(t *testing.T, c *fakeFleet, terminal bool, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	streams, out, errOut := cli.TestStreams(terminal)
	f := &cli.Factory{IO: streams, Getenv: func(string) string { return "127.0.0.1:7000," + ownerAddress }, RPCClient: c}
	code = Main(t.Context(), f, args)
	return code, out.String(), strings.TrimSuffix(errOut.String(), "\n")
}

// Guards against unintended changes of the output of the fleet commands.
func TestFleetGolden(t *testing.T) {
	lines, err := os.ReadFile("testdata/fleet.txt")
	is.New(t).NoErr(err)
	var b strings.Builder
	for line := range strings.Lines(string(lines)) {
		args := strings.Fields(line)
		code, out, errOut := runFleetCommand(t, &fakeFleet{}, args[0] == "tty", args[1:]...)
		fmt.Fprintf(&b, "$ %s\n%s", strings.TrimSpace(line), out)
		if errOut != "" {
			fmt.Fprintf(&b, "exit %d: %s\n", code, errOut)
		}
	}
	compareGolden(t, "testdata/fleet.golden", b.String())
}

// Guards against a command that stops at a daemon that does not own the fleet,
// and against one that never ends when no daemon owns it.
func TestFleetFindsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &fakeFleet{}
		code, _, _ := runFleetCommand(t, c, false, "fleet", "owner", "--control", "127.0.0.9:7000,127.0.0.1:7000,"+ownerAddress)
		is.Equal(code, cli.ExitOK)
		is.Equal(c.called, []string{"127.0.0.9:7000", "127.0.0.1:7000", ownerAddress})

		code, _, errOut := runFleetCommand(t, &fakeFleet{}, false, "fleet", "owner", "--control", "127.0.0.9:7000", "--timeout", "3s")
		is.Equal(code, cli.ExitNoLeader)
		is.True(strings.Contains(errOut, "127.0.0.9:7000")) // names the daemon that was called
	})
}
