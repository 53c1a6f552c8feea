package cli

import (
	"context"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/pflag"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// controlEnvVar is the environment variable with the default of --control.
	controlEnvVar  = "GALENA_CONTROL"
	defaultTimeout = 30 * time.Second
)

// Factory provides the dependencies of the commands. Tests replace its fields.
type Factory struct {
	IO   *IOStreams
	Dial client.Dialer
	// RPCClient calls the control daemons of galena-fleet.
	RPCClient galenahead.RPCClient
	Getenv    func(string) string
	NewID     func() string
	Operator  string
	Flags     GlobalFlags
}

// GlobalFlags holds the flags that all commands have.
type GlobalFlags struct {
	Control   []string
	JSON      bool
	Timeout   time.Duration
	RequestID string
	// BaseRevision is the revision that a change is based on, or 0 for the latest.
	BaseRevision uint64
}

// NewFactory returns a factory that uses the streams, the environment and the
// network of the process.
func NewFactory() *Factory {
	return &Factory{
		IO:        SystemStreams(),
		Dial:      client.Dial,
		RPCClient: &galenarpc.Client{},
		Getenv:    os.Getenv,
		NewID:     uuid.NewString,
		Operator:  operatorName(),
	}
}

// operatorName returns the name of the user who runs the command.
func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// AddFlags registers the global flags.
func (f *Factory) AddFlags(flags *pflag.FlagSet) {
	g := &f.Flags
	flags.StringSliceVar(&g.Control, "control", nil,
		"operator addresses of the control daemons, default $"+controlEnvVar+" (ip:port[,ip:port...])")
	flags.BoolVar(&g.JSON, "json", false, "print JSON (true or false)")
	flags.DurationVar(&g.Timeout, "timeout", defaultTimeout, "time limit of the command (duration, such as 30s)")
	flags.StringVar(&g.RequestID, "request-id", "",
		"id that keeps a repeated command from applying its change twice, default a new one (UUID)")
	flags.Uint64Var(&g.BaseRevision, "base-revision", 0,
		"revision that a change is based on, 0 for the latest (revision number)")
}

// Client returns a client for the operator addresses of --control or the
// environment. Its error is a UsageError.
func (f *Factory) Client() (*client.Client, error) {
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	return client.New(addresses, f.Dial), nil
}

// FleetClient returns a client for the control daemons of galena-fleet, whose peer
// addresses are those of --control or the environment. Its error is a UsageError.
func (f *Factory) FleetClient() (*client.FleetClient, error) {
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	return &client.FleetClient{Addresses: addresses, RPCClient: f.RPCClient}, nil
}

// addresses returns the addresses of --control, or else of the environment.
func (f *Factory) addresses() ([]string, error) {
	addresses := f.Flags.Control
	if len(addresses) == 0 {
		if v := f.Getenv(controlEnvVar); v != "" {
			addresses = strings.Split(v, ",")
		}
	}
	if len(addresses) == 0 {
		return nil, Usagef("no control address; pass --control ip:port or set %s", controlEnvVar)
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, Usagef("control address %q is not ip:port", a)
		}
	}
	return addresses, nil
}

// WithClient calls fn with a client and with a context that ends after --timeout.
func (f *Factory) WithClient(ctx context.Context, fn func(context.Context, *client.Client) error) error {
	c, err := f.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, f.Flags.Timeout)
	defer cancel()
	return fn(ctx, c)
}
