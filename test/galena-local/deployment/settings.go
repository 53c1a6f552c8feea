package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// writeSettings writes the settings file of every daemon.
func (d *Deployment) writeSettings() error {
	for _, c := range d.controls {
		if err := d.writeSettingsFile(c.Name, d.controlSettings(c)); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if err := d.writeSettingsFile(e.Name, d.entrySettings(e)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeSettingsFile(name, text string) error {
	err := os.WriteFile(filepath.Join(d.dir, name+".ini"), []byte(text), 0o644)
	return eris.Wrapf(err, "write settings of %s", name)
}

// SetProcess adds lines to the section [process] of the daemon with the name, which has to be started
// anew for that. Lines of an earlier call are replaced.
func (d *Deployment) SetProcess(name, lines string) error {
	if d.processLines == nil {
		d.processLines = map[string]string{}
	}
	d.processLines[name] = lines
	return d.writeSettings()
}

func (d *Deployment) controlSettings(c *Control) string {
	return d.processSettings(c.Name, c.dataCentre) + fmt.Sprintf(`
[listen]
operator_address = %s
peer_address = %s
status_address = %s

[data]
directory = %s

[platform]
worker_address = %s
renew_interval = 1s

[weights]
buffer_cost = 1
rollout_time = 1
`, c.operatorAddress, c.peerAddress, c.statusAddress, c.DataDir, d.platformAddress) + d.sharedSettings()
}

func (d *Deployment) entrySettings(e *Entry) string {
	return d.processSettings(e.Name, e.dataCentre) + fmt.Sprintf(`
[listen]
caller_address = %s
upstream_address = %s
status_address = %s
peer_address = %s

[limits]
max_body_kb = 1024
queue_per_service = 2000
queue_mb = 64
default_deadline = 2s
claim_memory_mb = 64
`, e.CallerAddress, e.UpstreamAddress, e.StatusAddress, e.peerAddress) + d.sharedSettings()
}

func (d *Deployment) processSettings(name, dataCentre string) string {
	return fmt.Sprintf(`[process]
name = %s
data_centre = %s
region = hokkaido
stop_delay = 200ms
log_level = info
log_file = -
max_procs = 2
%s`, name, dataCentre, d.processLines[name])
}

// sharedSettings returns the settings sections that are the same for all daemons.
func (d *Deployment) sharedSettings() string {
	var b strings.Builder
	b.WriteString("\n[entries]\n")
	for _, e := range d.entries {
		fmt.Fprintf(&b, "%s = %s %s\n", e.Name, e.dataCentre, e.peerAddress)
	}
	b.WriteString("\n[control]\n")
	for _, c := range d.controls {
		fmt.Fprintf(&b, "%s = %s %s %s\n", c.Name, c.dataCentre, c.peerAddress, c.operatorAddress)
	}
	return b.String()
}
