package root

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const controlAddress = "127.0.0.1:1"

// Guards against flags that do not set their request field, changed output
// formats and wrong exit codes.
func TestCommandsGolden(t *testing.T) {
	lines, err := os.ReadFile("testdata/commands.txt")
	is.New(t).NoErr(err)
	var b strings.Builder
	for line := range strings.Lines(string(lines)) {
		args := strings.Fields(line)
		terminal := args[0] == "tty"
		d := &fakeControl{}
		code, out, errOut := runCommand(t, map[string]*fakeControl{controlAddress: d}, terminal, args[1:]...)
		fmt.Fprintf(&b, "$ %s\n%s", strings.TrimSpace(line), out)
		for _, r := range d.applied {
			fmt.Fprintf(&b, "request %s\n", compactJSON(t, r))
		}
		for _, r := range d.members {
			fmt.Fprintf(&b, "request %s\n", compactJSON(t, r))
		}
		for _, r := range d.bootstraps {
			fmt.Fprintf(&b, "request %s\n", compactJSON(t, r))
		}
		if code != 0 {
			fmt.Fprintf(&b, "exit %d: %s\n", code, errOut)
		}
	}
	compareGolden(t, "testdata/commands.golden", b.String())
}

func compactJSON(t *testing.T, m proto.Message) string {
	t.Helper()
	data, err := protojson.Marshal(m)
	is.New(t).NoErr(err)
	var v any
	is.New(t).NoErr(json.Unmarshal(data, &v))
	data, err = json.Marshal(v)
	is.New(t).NoErr(err)
	return string(data)
}

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// Guards against a client that fails at a follower, or applies the change there,
// instead of following the redirect to the leader.
func TestLeaderRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		follower := &fakeControl{leader: "127.0.0.2:2"}
		leader := &fakeControl{}
		code, out, errOut := runCommand(t, map[string]*fakeControl{controlAddress: follower, "127.0.0.2:2": leader}, false, "pool", "set", "p")
		is.Equal(errOut, "")
		is.Equal(code, cli.ExitOK)
		is.Equal(out, "42\tfalse\t0\n")
		is.Equal(len(follower.applied), 0)
		is.Equal(len(leader.applied), 1)
	})
}

// Guards against a change that is applied twice or not at all when its reply is
// lost because the connection is closed or the daemon does not respond.
func TestLostReplyIsResentWithSameID(t *testing.T) {
	for name, failing := range map[string]*fakeControl{
		"closed": {replyErr: status.Error(codes.Unavailable, "connection closed")},
		"silent": {unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				other := &fakeControl{}
				daemons := map[string]*fakeControl{controlAddress: failing, "127.0.0.2:2": other}
				code, out, _ := runCommand(t, daemons, false, "config", "apply", "trace", "on", "--control", controlAddress+",127.0.0.2:2")
				is.Equal(code, cli.ExitOK)
				is.Equal(out, "42\ttrue\t850\n")
				is.Equal(len(failing.applied), 1)
				is.Equal(len(other.applied), 1)
				is.True(proto.Equal(failing.applied[0], other.applied[0])) // same request id, base revision and content
			})
		})
	}
}

// Guards against an unknown outcome that is reported as a failure, without the
// flags to repeat the command safely.
func TestUnknownOutcomePrintsRetryFlags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		code, _, errOut := runCommand(t, map[string]*fakeControl{controlAddress: {unresponsive: true}}, false, "pool", "set", "p")
		is.Equal(code, cli.ExitNoLeader)
		is.True(strings.Contains(errOut, "--request-id 00000000-0000-4000-8000-000000000001 --base-revision 41"))
		code, _, errOut = runCommand(t, nil, false, "pool", "list")
		is.Equal(code, cli.ExitNoLeader)
		is.True(strings.Contains(errOut, "check --control"))
	})
}

// Guards against a conflict with another change that is reported as a success or
// as another failure.
func TestConflict(t *testing.T) {
	is := is.New(t)
	d := &fakeControl{replyErr: status.Error(codes.Aborted, "revision 42 set trace to off")}
	code, _, errOut := runCommand(t, map[string]*fakeControl{controlAddress: d}, false, "config", "apply", "trace", "on")
	is.Equal(code, cli.ExitConflict)
	is.Equal(errOut, "galenactl: conflict: revision 42 set trace to off; read the latest state and apply again")
	is.Equal(len(d.applied), 1)
}

// Guards against a replica change that is reported as rejected after it was made: the reply
// to the first attempt is lost, and the daemon rejects the repeat because of the first one.
func TestRejectedRepeatOfMemberChangeIsUnknown(t *testing.T) {
	is := is.New(t)
	const other = "127.0.0.2:2"
	lost := status.Error(codes.Unavailable, "connection closed")
	rejected := status.Error(codes.Aborted, "replica c4 is a member with incarnation 5; remove it first")
	first, second := &fakeControl{memberErr: lost}, &fakeControl{memberErr: rejected}
	add := []string{"cluster", "member", "add", "c4", "--address", "127.0.0.4:8090", "--incarnation", "5", "--control", controlAddress + "," + other}
	code, _, errOut := runCommand(t, map[string]*fakeControl{controlAddress: first, other: second}, false, add...)
	is.Equal(len(first.members), 1)
	is.Equal(len(second.members), 1)
	is.Equal(code, cli.ExitFailure)
	is.True(strings.Contains(errOut, "outcome unknown"))

	// A daemon that could not be reached has made no change.
	second = &fakeControl{memberErr: rejected}
	code, _, errOut = runCommand(t, map[string]*fakeControl{other: second}, false, add...)
	is.Equal(code, cli.ExitConflict)
	is.True(!strings.Contains(errOut, "outcome unknown"))
}

// Guards against a second cluster that starts when the reply to bootstrap is lost
// and the request is resent to another daemon.
func TestBootstrapIsNotResent(t *testing.T) {
	is := is.New(t)
	failing := &fakeControl{replyErr: status.Error(codes.Unavailable, "connection closed")}
	other := &fakeControl{}
	code, _, _ := runCommand(t, map[string]*fakeControl{controlAddress: failing, "127.0.0.2:2": other}, false,
		"cluster", "bootstrap", "--member", "c1=127.0.0.1:8090", "--control", controlAddress+",127.0.0.2:2")
	is.Equal(code, cli.ExitNoLeader)
	is.Equal(len(failing.bootstraps), 1)
	is.Equal(len(other.bootstraps), 0)
}

// Guards against a flag whose help does not end with its unit or format.
func TestFlagsStateTheirUnit(t *testing.T) {
	unit := regexp.MustCompile(`\([^)]+\)$`)
	streams, _, _ := cli.TestStreams(false)
	var walk func(*cobra.Command)
	walk = func(cmd *cobra.Command) {
		cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
			if !unit.MatchString(f.Usage) {
				t.Errorf("%s --%s: no unit at the end of %q", cmd.CommandPath(), f.Name, f.Usage)
			}
		})
		for _, sub := range cmd.Commands() {
			walk(sub)
		}
	}
	walk(NewCmdRoot(&cli.Factory{IO: streams}))
}
