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
	// controlVariable is the environment variable with the default of --control.
	controlVariable = "GALENA_CONTROL"
	defaultTimeout  = 30 * time.Second
)

// Factory builds what commands need. Tests replace its fields.
type Factory struct {
	IO   *IOStreams
	Dial client.Dialer
	// Caller calls the control daemons of a fleet.
	Caller   galenahead.Caller
	Getenv   func(string) string
	NewID    func() string
	Operator string
	Flags    Global
}

// Global holds the flags of every command.
type Global struct {
	Control   []string
	JSON      bool
	Timeout   time.Duration
	RequestID string
	// BaseRevision is 0 for the latest revision.
	BaseRevision uint64
}

// NewFactory returns the factory of the process.
func NewFactory() *Factory {
	return &Factory{
		IO:       SystemStreams(),
		Dial:     client.Dial,
		Caller:   &galenarpc.Client{},
		Getenv:   os.Getenv,
		NewID:    uuid.NewString,
		Operator: operator(),
	}
}

func operator() string {
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
		"operator addresses of the control daemons, default $"+controlVariable+" (ip:port[,ip:port...])")
	flags.BoolVar(&g.JSON, "json", false, "print JSON (true or false)")
	flags.DurationVar(&g.Timeout, "timeout", defaultTimeout, "time limit of the command (duration, such as 30s)")
	flags.StringVar(&g.RequestID, "request-id", "",
		"id under which a change is applied once, default a fresh one (UUID)")
	flags.Uint64Var(&g.BaseRevision, "base-revision", 0,
		"revision that a change is based on, 0 for the latest (revision number)")
}

// Client returns a client for the addresses of --control or the environment.
// It fails with a UsageError.
func (f *Factory) Client() (*client.Client, error) {
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	return client.New(addresses, f.Dial), nil
}

// Fleet returns a client for the control daemons of a fleet, of which --control
// or the environment holds the peer addresses. It fails with a UsageError.
func (f *Factory) Fleet() (*client.Fleet, error) {
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	return &client.Fleet{Addresses: addresses, Caller: f.Caller}, nil
}

// addresses returns the addresses of --control or the environment.
func (f *Factory) addresses() ([]string, error) {
	addresses := f.Flags.Control
	if len(addresses) == 0 {
		if v := f.Getenv(controlVariable); v != "" {
			addresses = strings.Split(v, ",")
		}
	}
	if len(addresses) == 0 {
		return nil, Usagef("no control address; pass --control ip:port or set %s", controlVariable)
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, Usagef("control address %q is not ip:port", a)
		}
	}
	return addresses, nil
}

// Query calls fn with a client and with the context of --timeout.
func (f *Factory) Query(ctx context.Context, fn func(context.Context, *client.Client) error) error {
	c, err := f.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, f.Flags.Timeout)
	defer cancel()
	return fn(ctx, c)
}
