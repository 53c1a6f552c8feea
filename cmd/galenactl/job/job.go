// Package job provides the commands for jobs.
package job

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/galenapb"
)

// NewCmdJob returns the command group.
func NewCmdJob(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("job", "Submit, cancel and list jobs",
		NewCmdSubmit(f, nil), NewCmdCancel(f, nil), NewCmdList(f, nil))
}

// NewCmdList returns the command that lists jobs.
func NewCmdList(f *cli.Factory, runF func(context.Context, *cli.ListOptions) error) *cobra.Command {
	o := &cli.ListOptions{
		Factory: f,
		Kind:    "jobs",
		Header: []string{"ID", "TEAM", "POOL", "SERVICE", "CORES", "MEMORY MB", "ACCELERATORS", "URGENT", "STATE",
			"WORKER", "REASON"},
		Rows: func(r *galenapb.GetReply) [][]any {
			return cli.Rows(r.GetJobs(), func(j *galenapb.Job) []any {
				return []any{j.GetId(), j.GetTeam(), j.GetPool(), j.GetService(), j.GetCores(), j.GetMemoryMb(),
					j.GetAccelerators(), j.GetUrgent(), j.GetState(), j.GetWorker(), j.GetReason()}
			})
		},
	}
	return cli.NewCmdList(o, "List jobs", runF)
}

// SubmitOptions are the options of job submit.
type SubmitOptions struct {
	Factory *cli.Factory
	Job     *galenapb.Job
}

// NewCmdSubmit returns the command that submits a job.
func NewCmdSubmit(f *cli.Factory, runF func(context.Context, *SubmitOptions) error) *cobra.Command {
	o := &SubmitOptions{Factory: f, Job: &galenapb.Job{}}
	if runF == nil {
		runF = runSubmit
	}
	cmd := &cobra.Command{
		Use:   "submit <id>",
		Short: "Submit a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Job.Id = args[0]
			if err := cli.RequireFlags(cmd, "team", "pool", "service", "cores", "memory-mb"); err != nil {
				return err
			}
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Job.Team, "team", "", "team whose quota the job is charged to (team name)")
	flags.StringVar(&o.Job.Pool, "pool", "", "pool that runs the job (pool name)")
	flags.StringVar(&o.Job.Service, "service", "", "service that the job belongs to (service name)")
	flags.Int32Var(&o.Job.Cores, "cores", 0, "processors (cores)")
	flags.Int32Var(&o.Job.MemoryMb, "memory-mb", 0, "memory (MB)")
	flags.Int32Var(&o.Job.Accelerators, "accelerators", 0, "accelerators (count)")
	flags.BoolVar(&o.Job.Urgent, "urgent", false, "the job may preempt deferrable jobs (true or false)")
	return cmd
}

func runSubmit(ctx context.Context, o *SubmitOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_JobSubmit{JobSubmit: o.Job},
	})
}

// CancelOptions are the options of job cancel.
type CancelOptions struct {
	Factory *cli.Factory
	ID      string
}

// NewCmdCancel returns the command that cancels a job.
func NewCmdCancel(f *cli.Factory, runF func(context.Context, *CancelOptions) error) *cobra.Command {
	o := &CancelOptions{Factory: f}
	if runF == nil {
		runF = runCancel
	}
	return &cobra.Command{
		Use:   "cancel <id>",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.ID = args[0]
			return runF(cmd.Context(), o)
		},
	}
}

func runCancel(ctx context.Context, o *CancelOptions) error {
	return o.Factory.ApplyChange(ctx, &galenapb.ApplyRequest{
		Change: &galenapb.ApplyRequest_JobCancel{JobCancel: &galenapb.JobCancel{Id: o.ID}},
	})
}
