package replay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/replay/trace"
)

// controlTimeout limits one call to the control interface of a stand-in.
const controlTimeout = 5 * time.Second

// faultTargets returns the control addresses of the stand-ins that f applies to.
func faultTargets(standIns map[string][]string, f trace.Fault) ([]string, error) {
	addresses := standIns[f.Pool]
	if len(addresses) == 0 {
		return nil, fmt.Errorf("fault at %d ms: no stand-ins known for pool %q", f.AtMS, f.Pool)
	}
	if len(f.Replicas) == 0 {
		return addresses, nil
	}
	var out []string
	for _, i := range f.Replicas {
		if i >= len(addresses) {
			return nil, fmt.Errorf("fault at %d ms: pool %q has no replica %d", f.AtMS, f.Pool, i)
		}
		out = append(out, addresses[i])
	}
	return out, nil
}

// injectFaults posts every fault at its offset until ctx is done.
func (r *runner) injectFaults(ctx context.Context) []FaultReport {
	var out []FaultReport
	for _, f := range r.trace.Faults {
		if !r.waitUntil(ctx, r.scaledOffset(f.At())) {
			return append(out, FaultReport{Fault: f, Err: ctx.Err()})
		}
		out = append(out, FaultReport{Fault: f, Err: r.injectFault(ctx, f)})
	}
	return out
}

func (r *runner) injectFault(ctx context.Context, f trace.Fault) error {
	addresses, err := faultTargets(r.cfg.StandIns, f)
	if err != nil {
		return err
	}
	var errs []error
	for _, a := range addresses {
		errs = append(errs, ReplaceFaults(ctx, r.cfg.Client, a, f.Body))
	}
	return errors.Join(errs...)
}

// ReplaceFaults replaces the active faults of the stand-in at address with body, a JSON
// object; an empty object clears them. It fails if the stand-in cannot be reached or
// its status is not 2xx.
func ReplaceFaults(ctx context.Context, client *http.Client, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("inject fault: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("inject fault at %s: status %d", address, resp.StatusCode)
	}
	return nil
}
