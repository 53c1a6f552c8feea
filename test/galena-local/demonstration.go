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

// tour shows what an operator and a caller do.
type tour struct {
	d *deployment.Deployment
}

func (t *tour) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{t.configure, t.serveRequest, t.placeJob, t.moveVM, t.status} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ctl runs a command until it succeeds and prints it with its output.
func (t *tour) ctl(ctx context.Context, args ...string) error {
	var out string
	err := t.d.Eventually(ctx, func() (err error) {
		out, err = t.d.Ctl(ctx, args...)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("$ galenactl %s\n%s", strings.Join(args, " "), out)
	return nil
}

func (t *tour) configure(ctx context.Context) error {
	commands := []string{
		"pool set counter", "pool set other --spare",
		"vm add counter-1 --pool counter --data-centre sapporo --rack r1 --cores 64 --memory-mb 131072",
		"vm add counter-2 --pool counter --data-centre asahikawa --rack r2 --cores 64 --memory-mb 131072",
		"vm add other-1 --pool other --data-centre hakodate --rack r3 --cores 64 --memory-mb 131072",
		"service set counter --pool counter",
		"team set knots --cores 128 --memory-mb 262144",
	}
	for _, c := range commands {
		if err := t.ctl(ctx, strings.Fields(c)...); err != nil {
			return err
		}
	}
	for i, dc := range []string{"sapporo", "asahikawa"} {
		name := fmt.Sprintf("counter-%d", i+1)
		if _, _, err := t.d.Upstream("counter", name+"-a", name, fmt.Sprintf("r%d", i+1), dc); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) serveRequest(ctx context.Context) error {
	// Entries that have just started refuse keys issued before their start.
	return t.d.Eventually(ctx, func() error { return t.request(ctx) })
}

func (t *tour) request(ctx context.Context) error {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), uuid.NewString()[:8])
	url := "http://" + t.d.Entries()[0].Caller + "/quote"
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

func (t *tour) placeJob(ctx context.Context) error {
	if err := t.ctl(ctx, strings.Fields("job submit tariffs-1 --team knots --pool counter --service counter --cores 8 --memory-mb 4096")...); err != nil {
		return err
	}
	return t.until(ctx, "running", "job", "list")
}

func (t *tour) moveVM(ctx context.Context) error {
	if err := t.ctl(ctx, strings.Fields("vm move other-1 --to-pool counter")...); err != nil {
		return err
	}
	return t.until(ctx, "other-1\tcounter", "vm", "list")
}

func (t *tour) status(ctx context.Context) error { return t.ctl(ctx, "cluster", "status") }

// until repeats a command until its output contains want, and prints it then.
func (t *tour) until(ctx context.Context, want string, args ...string) error {
	err := t.d.Eventually(ctx, func() error {
		out, err := t.d.Ctl(ctx, args...)
		if err == nil && !strings.Contains(out, want) {
			err = eris.Errorf("galenactl %s does not show %q yet:\n%s", strings.Join(args, " "), want, out)
		}
		return err
	})
	if err != nil {
		return err
	}
	return t.ctl(ctx, args...)
}
