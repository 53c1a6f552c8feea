package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// demonstration runs typical steps of an operator and a caller and prints their
// results.
type demonstration struct {
	deployment *deployment.Deployment
}

func (d *demonstration) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.configure, d.serveRequest, d.placeJob, d.moveVM, d.showStatus} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runAndPrint runs galenactl until it succeeds and prints the command with its
// output.
func (d *demonstration) runAndPrint(ctx context.Context, args ...string) error {
	var out string
	err := d.deployment.Eventually(ctx, func() (err error) {
		out, err = d.deployment.RunCtl(ctx, args...)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("$ galenactl %s\n%s", strings.Join(args, " "), out)
	return nil
}

func (d *demonstration) configure(ctx context.Context) error {
	commands := []string{
		"pool set counter", "pool set other --spare",
		"vm add counter-1 --pool counter --data-centre sapporo --rack r1 --cores 64 --memory-mb 131072",
		"vm add counter-2 --pool counter --data-centre asahikawa --rack r2 --cores 64 --memory-mb 131072",
		"vm add other-1 --pool other --data-centre hakodate --rack r3 --cores 64 --memory-mb 131072",
		"service set counter --pool counter",
		"team set knots --cores 128 --memory-mb 262144",
	}
	for _, c := range commands {
		if err := d.runAndPrint(ctx, strings.Fields(c)...); err != nil {
			return err
		}
	}
	for i, dc := range []string{"sapporo", "asahikawa"} {
		name := fmt.Sprintf("counter-%d", i+1)
		if _, _, err := d.deployment.StartUpstream("counter", name+"-a", name, fmt.Sprintf("r%d", i+1), dc); err != nil {
			return err
		}
	}
	return nil
}

func (d *demonstration) serveRequest(ctx context.Context) error {
	// Entries that have just started reject keys that were issued before their start.
	return d.deployment.Eventually(ctx, func() error { return d.sendRequest(ctx) })
}

func (d *demonstration) sendRequest(ctx context.Context) error {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), uuid.NewString()[:8])
	url := "http://" + d.deployment.Entries()[0].CallerAddress + "/quote"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("knot 26 mm"))
	if err != nil {
		return err
	}
	req.Header.Set("X-Galena-Service", "counter")
	req.Header.Set("X-Galena-Caller", "shop-12")
	req.Header.Set("X-Galena-Key", key)
	req.Header.Set("X-Galena-Idempotent", "false")
	req.Header.Set("X-Galena-Delivery", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if got := resp.Header.Get("X-Galena-Outcome"); got != "ran" {
		return eris.Errorf("request %s: outcome %s, reason %s", key, got, resp.Header.Get("X-Galena-Reason"))
	}
	fmt.Printf("request %s: outcome ran, status %d, %d bytes\n", key, resp.StatusCode, len(body))
	return nil
}

func (d *demonstration) placeJob(ctx context.Context) error {
	if err := d.runAndPrint(ctx, strings.Fields("job submit tariffs-1 --team knots --pool counter --service counter --cores 8 --memory-mb 4096")...); err != nil {
		return err
	}
	return d.waitForOutput(ctx, "running", "job", "list")
}

func (d *demonstration) moveVM(ctx context.Context) error {
	if err := d.runAndPrint(ctx, strings.Fields("vm move other-1 --to-pool counter")...); err != nil {
		return err
	}
	return d.waitForOutput(ctx, "other-1\tcounter", "vm", "list")
}

func (d *demonstration) showStatus(ctx context.Context) error {
	return d.runAndPrint(ctx, "cluster", "status")
}

// waitForOutput repeats a command until its output contains want, then runs and
// prints it once more.
func (d *demonstration) waitForOutput(ctx context.Context, want string, args ...string) error {
	err := d.deployment.Eventually(ctx, func() error {
		out, err := d.deployment.RunCtl(ctx, args...)
		if err == nil && !strings.Contains(out, want) {
			err = eris.Errorf("galenactl %s does not show %q yet:\n%s", strings.Join(args, " "), want, out)
		}
		return err
	})
	if err != nil {
		return err
	}
	return d.runAndPrint(ctx, args...)
}
