// Package wave provides the commands for maintenance waves.
package wave

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

const defaultSettle = 10 * time.Second

// NewCmdWave returns the command group.
func NewCmdWave(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("wave", "List, start and control maintenance waves",
		NewCmdList(f, nil),
		NewCmdStart(f, nil),
		NewCmdControl(f, "pause", "Pause a wave; VMs out of service still return to service", nil),
		NewCmdControl(f, "resume", "Resume a paused or stopped wave", nil),
		NewCmdControl(f, "cancel", "Cancel a wave; VMs out of service still return to service", nil))
}

// NewCmdList returns the command that lists waves.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "waves",
		Header:  []string{"NAME", "POOL", "STATE", "MAX AT ONCE", "SETTLE MS", "STEPS", "REASON"},
		Rows: func(r *galenapb.GetReply) [][]any {
			return cli.Rows(r.GetWaves(), func(w *galenapb.Wave) []any {
				return []any{w.GetName(), w.GetPool(), w.GetState(), w.GetMaxAtOnce(), w.GetSettleMs(),
					len(w.GetSteps()), w.GetReason()}
			})
		},
	}
	return cli.NewCmdList(o, "List waves", runF)
}

// StartOptions are the options of wave start.
type StartOptions struct {
	Factory *cli.Factory
	Wave    *galenapb.WaveStart
	Settle  time.Duration
}

// NewCmdStart returns the command that starts a wave over a pool.
func NewCmdStart(f *cli.Factory, runF func(context.Context, *StartOptions) error) *cobra.Command {
	o := &StartOptions{Factory: f, Wave: &galenapb.WaveStart{}}
	if runF == nil {
		runF = runStart
	}
	cmd := &cobra.Command{
		Use:   "start <name>",
		Short: "Start a maintenance wave over a pool",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Wave.Name = args[0]
			if err := cli.RequireFlags(cmd, "pool"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Wave.Pool, "pool", "", "pool whose VMs are maintained (pool name)")
	flags.Int32Var(&o.Wave.MaxAtOnce, "max-at-once", 0, "largest number of VMs out of service at a time, 0 to derive it from the weights (VMs)")
	flags.DurationVar(&o.Settle, "settle", defaultSettle,
		"time for which a VM must respond before the next one is taken out of service (duration, such as 10s)")
	return cmd
}

func runStart(ctx context.Context, o *StartOptions) error {
	o.Wave.SettleMs = o.Settle.Milliseconds()
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_WaveStart{WaveStart: o.Wave},
	})
}

// ControlOptions are the options of wave pause, resume and cancel.
type ControlOptions struct {
	Factory *cli.Factory
	Control *galenapb.WaveControl
}

// NewCmdControl returns the command that applies action to a wave.
func NewCmdControl(
	f *cli.Factory, action, short string, runF func(context.Context, *ControlOptions) error,
) *cobra.Command {
	o := &ControlOptions{Factory: f, Control: &galenapb.WaveControl{Action: action}}
	if runF == nil {
		runF = runControl
	}
	return &cobra.Command{
		Use:   action + " <name>",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Control.Name = args[0]
			return runF(cmd.Context(), o)
		},
	}
}

func runControl(ctx context.Context, o *ControlOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_WaveControl{WaveControl: o.Control},
	})
}
