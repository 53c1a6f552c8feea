// Package config provides the commands for the settings in the control state, which
// are in force on all daemons.
package config

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"gopkg.in/ini.v1"

	"github.com/galenahead/galenahead/cmd/galenactl/cli"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
)

const (
	// defaultWait is longer than the 4 s within which a change is in force
	// everywhere.
	defaultWait         = 10 * time.Second
	defaultHistoryLimit = 20
)

// NewCmdConfig returns the command group.
func NewCmdConfig(f *cli.Factory) *cobra.Command {
	return cli.NewGroup("config", "Apply and read settings", NewCmdApply(f, nil), NewCmdGet(f, nil), NewCmdHistory(f, nil))
}

// ApplyOptions are the options of config apply.
type ApplyOptions struct {
	Factory *cli.Factory
	File    string
	Wait    time.Duration
	// Key and Value are set when File is empty.
	Key   string
	Value string
}

// NewCmdApply returns the command that applies settings and waits until they
// are in force.
func NewCmdApply(f *cli.Factory, runF func(context.Context, *ApplyOptions) error) *cobra.Command {
	o := &ApplyOptions{Factory: f}
	if runF == nil {
		runF = runApply
	}
	cmd := &cobra.Command{
		Use:   "apply {<key> <value> | --file <file>}",
		Short: "Apply one setting, or the settings of an INI file, and wait until they are in force",
		Long: `Apply one setting, or the settings of an INI file, and wait until they are in force.

A key of a section in the file becomes <section>.<key>. Each key is one change, in the order of the file;
the changes before a failed one stay applied.`,
		Args: cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case o.File == "" && len(args) == 2:
				o.Key, o.Value = args[0], args[1]
			case o.File == "" || len(args) > 0:
				return cli.Usagef("pass either <key> <value> or --file <file>")
			}
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.File, "file", "", "read the settings from a file (path of an INI file)")
	cmd.Flags().DurationVar(&o.Wait, "wait", defaultWait,
		"time to wait until the change is in force, 0 not to wait (duration, such as 10s)")
	return cmd
}

func runApply(ctx context.Context, o *ApplyOptions) error {
	settings := []*galenapb.Setting{{Key: o.Key, Value: o.Value}}
	if o.File != "" {
		var err error
		if settings, err = readSettings(o.File); err != nil {
			return err
		}
	}
	reqs := make([]*galenapb.ApplyRequest, len(settings))
	for i, s := range settings {
		reqs[i] = &galenapb.ApplyRequest{Change: &galenapb.ApplyRequest_SettingSet{SettingSet: s}}
	}
	return o.Factory.ApplyChanges(ctx, reqs, o.Wait)
}

// readSettings returns the settings of an INI file, in the order of the file.
func readSettings(path string) ([]*galenapb.Setting, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, cli.Usagef("%s is not an INI file: %s", path, strings.TrimSpace(err.Error()))
	}
	var settings []*galenapb.Setting
	for _, s := range f.Sections() {
		prefix := s.Name() + "."
		if s.Name() == ini.DefaultSection {
			prefix = ""
		}
		for _, k := range s.Keys() {
			settings = append(settings, &galenapb.Setting{Key: prefix + k.Name(), Value: k.Value()})
		}
	}
	if len(settings) == 0 {
		return nil, cli.Usagef("%s holds no settings; add lines of the form key = value", path)
	}
	return settings, nil
}

// GetOptions are the options of config get.
type GetOptions struct {
	Factory *cli.Factory
	// Key is the key of the setting to print, or empty for all settings.
	Key string
}

// NewCmdGet returns the command that prints settings.
func NewCmdGet(f *cli.Factory, runF func(context.Context, *GetOptions) error) *cobra.Command {
	o := &GetOptions{Factory: f}
	if runF == nil {
		runF = runGet
	}
	return &cobra.Command{
		Use:   "get [<key>]",
		Short: "Print one setting or all settings",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Key = strings.Join(args, "")
			return runF(cmd.Context(), o)
		},
	}
}

func runGet(ctx context.Context, o *GetOptions) error {
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.Get(ctx, "settings")
		if err != nil {
			return err
		}
		if r.Settings = filterByKey(r.GetSettings(), o.Key); o.Key != "" && len(r.GetSettings()) == 0 {
			return eris.Errorf("no setting %q; galenactl config get lists all", o.Key)
		}
		rows := cli.Rows(r.GetSettings(), func(s *galenapb.Setting) []any { return []any{s.GetKey(), s.GetValue()} })
		return o.Factory.Print(r, []string{"KEY", "VALUE"}, rows, "revision", "settings")
	})
}

// filterByKey returns the setting with the key, or all settings if key is empty.
func filterByKey(settings []*galenapb.Setting, key string) []*galenapb.Setting {
	if key == "" {
		return settings
	}
	for _, s := range settings {
		if s.GetKey() == key {
			return []*galenapb.Setting{s}
		}
	}
	return nil
}

// HistoryOptions are the options of config history.
type HistoryOptions struct {
	Factory *cli.Factory
	Limit   int32
}

// NewCmdHistory returns the command that prints accepted changes.
func NewCmdHistory(f *cli.Factory, runF func(context.Context, *HistoryOptions) error) *cobra.Command {
	o := &HistoryOptions{Factory: f}
	if runF == nil {
		runF = runHistory
	}
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Print accepted changes, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
	cmd.Flags().Int32Var(&o.Limit, "limit", defaultHistoryLimit, "largest number of changes to print (changes)")
	return cmd
}

func runHistory(ctx context.Context, o *HistoryOptions) error {
	return o.Factory.WithClient(ctx, func(ctx context.Context, c *client.Client) error {
		r, err := c.History(ctx, o.Limit)
		if err != nil {
			return err
		}
		rows := cli.Rows(r.GetChanges(), func(c *galenapb.Change) []any {
			at := time.UnixMilli(c.GetTimeMs()).UTC().Format(time.RFC3339)
			return []any{c.GetRevision(), at, c.GetOperator(), c.GetRequestId(), c.GetSummary()}
		})
		return o.Factory.Print(r, []string{"REVISION", "TIME", "OPERATOR", "REQUEST ID", "SUMMARY"}, rows)
	})
}
